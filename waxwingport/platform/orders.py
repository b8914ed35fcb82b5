"""The platform's wire format of engine reports and orders."""

from expression import Error
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport.gateway import conditions
from waxwingport.http import client
from waxwingport import ids
from waxwingport.rollout import base

__all__ = ['PlatformEngineControl']

_TIMEOUT_S = 1.0
"""Timeout of a report or an order; engines answer within milliseconds."""
_MODES = {base.LoadMode.KEEP: 'retain', base.LoadMode.WAIT: 'await'}
_OUTCOMES = {
    200: base.OrderOutcome.ALREADY_LOADED,
    202: base.OrderOutcome.ACCEPTED,
    400: base.OrderOutcome.REJECTED,
    409: base.OrderOutcome.REJECTED,
    412: base.OrderOutcome.STALE,
    421: base.OrderOutcome.STALE,
}


class _LoadedModel(msgspec.Struct, frozen=True):
    name: decoding.Name
    version: decoding.WholeNumber


class _Report(msgspec.Struct, frozen=True, rename='kebab'):
    models: list[_LoadedModel]
    busy: bool
    seq: decoding.WholeNumber
    waiting: decoding.WholeNumber = 0
    running: decoding.WholeNumber = 0


class _Order(msgspec.Struct, frozen=True, rename='kebab'):
    operation: str
    model: str
    version: int
    mode: str
    holder: str
    fencing_token: int
    precondition: int


class PlatformEngineControl(base.EngineControl):
    """Controls engines by requests to ``/report`` and ``/order``."""

    def __init__(
        self,
        http: client.HttpClient,
        conditions_: conditions.TargetConditions,
    ) -> None:
        self._http = http
        self._conditions = conditions_

    async def read_report(
        self, target: fleet.Target
    ) -> Result[base.EngineReport, str]:
        """Returns an engine's report; fails with the reason."""
        request = client.Request(
            'GET',
            '/report',
            _make_instance_header(target),
            peer=self._conditions.make_control_peer(target),
        )
        match await self._http.fetch(
            target.entry.address, request, _TIMEOUT_S
        ):
            case Result(tag='ok', ok=response):
                pass
            case Result(error=fault):
                return Error(fault.detail)
        if response.status != 200:
            return Error(f'report returned status {response.status}')
        return (
            decoding.read_json(response.body, _Report)
            .map(_make_report)
            .map_error(lambda reason: f'malformed report: {reason}')
        )

    async def send_order(
        self, target: fleet.Target, order: base.Order
    ) -> base.OrderOutcome:
        """Sends an order to an engine and returns the outcome.

        It is ``UNKNOWN`` if there was no response or one of another status.
        """
        body = msgspec.json.encode(
            _Order(
                'version',
                order.model,
                order.version,
                _MODES[order.mode],
                order.holder,
                order.fencing_number,
                order.accepted_before,
            )
        )
        request = client.Request(
            'POST',
            '/order',
            (
                ('Content-Type', 'application/json'),
                *_make_instance_header(target),
            ),
            body,
            peer=self._conditions.make_control_peer(target),
        )
        match await self._http.fetch(
            target.entry.address, request, _TIMEOUT_S
        ):
            case Result(tag='ok', ok=response):
                return _OUTCOMES.get(
                    response.status, base.OrderOutcome.UNKNOWN
                )
            case _:
                return base.OrderOutcome.UNKNOWN


def _make_instance_header(target: fleet.Target) -> tuple[tuple[str, str], ...]:
    return (('Expect-Instance', target.entry.instance),)


def _make_report(found: _Report) -> base.EngineReport:
    return base.EngineReport(
        {
            model.name: ids.WeightVersion(model.version)
            for model in found.models
        },
        found.busy,
        found.seq,
        found.waiting + found.running,
    )
