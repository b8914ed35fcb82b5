"""Access to the configuration for an operator: by the log or by a node."""

import abc
import os

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import httpclient

from waxwingport.api import configuration as api
from waxwingport.api import problems
from waxwingport.configuration import declarations
from waxwingport.configuration import keys
from waxwingport.configuration import publisher
from waxwingport.configuration import reader
from waxwingport.configuration import records
from waxwingport.configuration import state
from waxwingport import decoding
from waxwingport import ids
from waxwingport.outside import base as platform

__all__ = [
    'ConfigurationChannel',
    'CurrentConfiguration',
    'LogChannel',
    'NodeChannel',
]

_TIMEOUT_S = 20.0
_MAX_ATTEMPTS = 3
_TOKEN_VARIABLE = 'WAXWINGPORT_TOKEN'  # noqa: S105
"""Environment variable that holds the operator's bearer token."""


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force."""

    revision: ids.Revision
    declarations: declarations.Declarations


class ConfigurationChannel(abc.ABC):
    """Reads the configuration in force and publishes changes.

    Errors are messages for the operator.
    """

    @abc.abstractmethod
    async def read(self) -> Result[CurrentConfiguration, str]:
        """Returns the configuration in force."""

    @abc.abstractmethod
    async def check(
        self, change: records.Change, force: bool
    ) -> Result[None, str]:
        """Fails with the reason if ``change`` would not be published."""

    @abc.abstractmethod
    async def publish(
        self, change: records.Change, force: bool
    ) -> Result[ids.Revision, str]:
        """Publishes ``change`` and returns its revision once in force."""

    @abc.abstractmethod
    async def reset(self, reset: records.Reset) -> Result[ids.Revision, str]:
        """Publishes a whole configuration where the previous one is lost.

        Returns the revision at which it is in force.
        """


class LogChannel(ConfigurationChannel):
    """Accesses the platform's log directly."""

    def __init__(self, log: platform.Log, vm_list: platform.VmList) -> None:
        self._configuration = state.ConfigurationState()
        self._reader = reader.ConfigurationReader(log, self._configuration)
        self._publisher = publisher.Publisher(
            log, vm_list, self._configuration, self._reader
        )

    async def read(self) -> Result[CurrentConfiguration, str]:
        """Returns the configuration in force."""
        match await self._reader.catch_up():
            case Result(tag='error', error=fault):
                return Error(f'{fault.kind.value}: {fault.detail}')
        folded = self._configuration.folded
        return Ok(CurrentConfiguration(folded.revision, folded.declarations))

    async def check(
        self, change: records.Change, force: bool
    ) -> Result[None, str]:
        """Fails with the reason if ``change`` would not be published."""
        checked = await self._publisher.check(change, force)
        return checked.map_error(_describe)

    async def publish(
        self, change: records.Change, force: bool
    ) -> Result[ids.Revision, str]:
        """Publishes ``change`` and returns its revision once in force."""
        outcome = await self._publisher.publish(change, _TIMEOUT_S, force)
        return outcome.map_error(_describe)

    async def reset(self, reset: records.Reset) -> Result[ids.Revision, str]:
        """Publishes a whole configuration where the previous one is lost.

        Returns the revision at which it is in force.
        """
        outcome = await self._publisher.reset(reset, _TIMEOUT_S)
        return outcome.map_error(_describe)


class NodeChannel(ConfigurationChannel):
    """Accesses ``/v1/configuration`` of the node at ``url``."""

    def __init__(self, url: str) -> None:
        self._url = f'{url.rstrip("/")}/v1/configuration'
        self._client = httpclient.AsyncHTTPClient()

    async def read(self) -> Result[CurrentConfiguration, str]:
        """Returns the configuration in force."""
        response = await self._fetch('GET', None)
        return response.bind(_read_current)

    async def check(
        self, change: records.Change, force: bool
    ) -> Result[None, str]:
        """Fails with the reason if ``change`` would not be published."""
        response = await self._fetch(
            'POST', _encode_proposal(change, force, True)
        )
        return response.map(lambda _: None)

    async def publish(
        self, change: records.Change, force: bool
    ) -> Result[ids.Revision, str]:
        """Publishes ``change`` and returns its revision once in force."""
        body = _encode_proposal(change, force, False)
        response = await self._fetch('POST', body)
        return response.bind(
            lambda value: _decode(value, api.PublishAnswer)
        ).map(lambda value: value.revision)

    async def reset(self, reset: records.Reset) -> Result[ids.Revision, str]:
        """Fails: a node without a configuration cannot publish one."""
        return Error('a reset needs direct access to the log: use --settings')

    async def _fetch(
        self, method: str, body: bytes | None
    ) -> Result[bytes, str]:
        """Sends a request to the node and returns the body of the response.

        Repeats a request that got no response.  This publishes nothing twice,
        since a change is identified by its record id.
        """
        detail = ''
        for _ in range(_MAX_ATTEMPTS):
            try:
                response = await self._client.fetch(
                    self._url,
                    method=method,
                    headers=_make_headers(),
                    body=body,
                    request_timeout=_TIMEOUT_S,
                    raise_error=False,
                )
            except httpclient.HTTPClientError as error:
                detail = str(error)
            except (OSError, ValueError) as error:
                return Error(f'{self._url}: {error}')
            else:
                return _read_response(response)
        return Error(f'{self._url}: {detail}')


def _encode_proposal(
    change: records.Change, force: bool, check: bool
) -> bytes:
    return msgspec.json.encode(
        api.Proposal(
            change.based_on,
            change.values,
            change.id,
            change.author,
            check,
            force,
        )
    )


def _make_headers() -> dict[str, str]:
    headers = {'Content-Type': 'application/json'}
    token = os.environ.get(_TOKEN_VARIABLE)
    if token:
        headers['Authorization'] = f'Bearer {token}'
    return headers


def _read_response(response: httpclient.HTTPResponse) -> Result[bytes, str]:
    if response.code == 200:
        return Ok(response.body)
    match _decode(response.body, problems.Problem):
        case Result(tag='ok', ok=problem):
            return Error(problem.detail)
    return Error(f'the node answered {response.code}')


def _read_current(body: bytes) -> Result[CurrentConfiguration, str]:
    return _decode(body, api.ConfigurationAnswer).bind(_assemble)


def _assemble(
    response: api.ConfigurationAnswer,
) -> Result[CurrentConfiguration, str]:
    values: dict[keys.Key, keys.Declared] = {}
    for key, raw in response.values.items():
        match records.read_value(key, raw):
            case Result(tag='ok', ok=value):
                values[key] = value
            case Result(error=reason):
                return Error(f'the node runs another version: {reason}')
    return Ok(CurrentConfiguration(response.revision, keys.assemble(values)))


def _decode(body: bytes, kind: type) -> Result:
    return decoding.read_json(body, kind).map_error(
        lambda reason: f'cannot decode the response: {reason}'
    )


def _describe(fault: publisher.PublishFault) -> str:
    return f'{fault.kind.value}: {fault.detail}'
