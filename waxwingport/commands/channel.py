"""Two ways of an operator to the configuration: the log, or a node."""

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
from waxwingport import ids
from waxwingport.outside import base as platform

__all__ = [
    'ConfigurationChannel',
    'CurrentConfiguration',
    'LogChannel',
    'NodeChannel',
]

_TIMEOUT = 20.0
_ATTEMPTS = 3
_TOKEN = 'WAXWINGPORT_TOKEN'  # noqa: S105
"""Environment variable that holds the operator's bearer token."""


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The configuration in force."""

    revision: ids.Revision
    declarations: declarations.Declarations


class ConfigurationChannel(abc.ABC):
    """Reads the configuration in force and publishes changes.

    Errors are for the operator to read.
    """

    @abc.abstractmethod
    async def read(self) -> Result[CurrentConfiguration, str]:
        """Returns the configuration in force."""

    @abc.abstractmethod
    async def check(
        self, change: records.Change, force: bool
    ) -> Result[None, str]:
        """Returns whether ``change`` would be published, or why not."""

    @abc.abstractmethod
    async def publish(
        self, change: records.Change, force: bool
    ) -> Result[ids.Revision, str]:
        """Returns the revision at which ``change`` is in force."""

    @abc.abstractmethod
    async def reset(self, reset: records.Reset) -> Result[ids.Revision, str]:
        """Publishes everything anew, where nothing is known any more."""


class LogChannel(ConfigurationChannel):
    """Straight to the platform's log."""

    def __init__(self, log: platform.Log, vm_list: platform.VmList) -> None:
        self._configuration = state.ConfigurationState()
        self._source = reader.ConfigurationReader(log, self._configuration)
        self._publisher = publisher.Publisher(
            log, vm_list, self._configuration, self._source
        )

    async def read(self) -> Result[CurrentConfiguration, str]:
        """Returns the configuration in force."""
        match await self._source.catch_up():
            case Result(tag='error', error=fault):
                return Error(f'{fault.kind.value}: {fault.detail}')
        folded = self._configuration.folded
        return Ok(CurrentConfiguration(folded.revision, folded.declarations))

    async def check(
        self, change: records.Change, force: bool
    ) -> Result[None, str]:
        """Returns whether ``change`` would be published, or why not."""
        checked = await self._publisher.check(change, force)
        return checked.map_error(_describe)

    async def publish(
        self, change: records.Change, force: bool
    ) -> Result[ids.Revision, str]:
        """Returns the revision at which ``change`` is in force."""
        outcome = await self._publisher.publish(change, _TIMEOUT, force)
        return outcome.map_error(_describe)

    async def reset(self, reset: records.Reset) -> Result[ids.Revision, str]:
        """Publishes everything anew, where nothing is known any more."""
        outcome = await self._publisher.reset(reset, _TIMEOUT)
        return outcome.map_error(_describe)


class NodeChannel(ConfigurationChannel):
    """Through ``/v1/configuration`` of a node."""

    def __init__(self, url: str) -> None:
        self._url = f'{url.rstrip("/")}/v1/configuration'
        self._client = httpclient.AsyncHTTPClient()

    async def read(self) -> Result[CurrentConfiguration, str]:
        """Returns the configuration in force."""
        answer = await self._fetch('GET', None)
        return answer.bind(_read_current)

    async def check(
        self, change: records.Change, force: bool
    ) -> Result[None, str]:
        """Returns whether ``change`` would be published, or why not."""
        answer = await self._fetch('POST', _propose(change, force, True))
        return answer.map(lambda _: None)

    async def publish(
        self, change: records.Change, force: bool
    ) -> Result[ids.Revision, str]:
        """Returns the revision at which ``change`` is in force."""
        body = _propose(change, force, False)
        answer = await self._fetch('POST', body)
        return answer.bind(
            lambda found: _decode(found, api.PublishAnswer)
        ).map(lambda found: found.revision)

    async def reset(self, reset: records.Reset) -> Result[ids.Revision, str]:
        """Refuses: a node without a configuration can't answer for one."""
        return Error('a reset goes straight to the log: use --settings')

    async def _fetch(
        self, method: str, body: bytes | None
    ) -> Result[bytes, str]:
        """Asks the node; a lost answer is asked for again.

        That is safe: a change is known by its record id.
        """
        detail = ''
        for _ in range(_ATTEMPTS):
            try:
                response = await self._client.fetch(
                    self._url,
                    method=method,
                    headers=_make_headers(),
                    body=body,
                    request_timeout=_TIMEOUT,
                    raise_error=False,
                )
            except httpclient.HTTPClientError as error:
                detail = str(error)
            except (OSError, ValueError) as error:
                return Error(f'{self._url}: {error}')
            else:
                return _read_response(response)
        return Error(f'{self._url}: {detail}')


def _propose(change: records.Change, force: bool, check: bool) -> bytes:
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
    token = os.environ.get(_TOKEN)
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
    answer: api.ConfigurationAnswer,
) -> Result[CurrentConfiguration, str]:
    rows: dict[keys.Key, keys.Declared] = {}
    for key, raw in answer.values.items():
        match records.read_value(key, raw):
            case Result(tag='ok', ok=value):
                rows[key] = value
            case Result(error=reason):
                return Error(f'the node is of another version: {reason}')
    return Ok(CurrentConfiguration(answer.revision, keys.assemble(rows)))


def _decode(body: bytes, kind: type) -> Result:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except msgspec.DecodeError as error:
        return Error(f'unreadable answer: {error}')


def _describe(fault: publisher.PublishFault) -> str:
    return f'{fault.kind.value}: {fault.detail}'
