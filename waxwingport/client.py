"""Client for trainers: sends steps, iterates over samples, publishes versions.

A bitmap of the sample numbers that the trainer received is the only record
of what was delivered.  This client maintains the bitmap, sends one pull
request at a time, repeats a request whose response was lost, and returns its
state to be saved with the trainer's checkpoint::

    client = TrainerClient(['http://10.0.0.1:8080'], 'kursabgleich')
    await client.put_step(1, [Group('g1', 'a prompt', 8)])
    async for outcome in client.samples(1):
        ...
    checkpoint = client.save()
"""

import abc
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import logging
import random

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import httpclient
from tornado import httputil

from waxwingport import decoding
from waxwingport import ids
from waxwingport.samples import bitmap
from waxwingport.samples import steps

__all__ = [
    'ClientFault',
    'ClientSettings',
    'Delivery',
    'Group',
    'HttpTransport',
    'Response',
    'Sample',
    'TrainerClient',
    'Transport',
]

Delivery = steps.Delivery
Group = steps.Group
Sample = steps.Sample

_UNKNOWN_STEP = 'unknown-step'
_RETRIED_STATUSES = (408, 425, 429, 500, 502, 503, 504)
_LOG = logging.getLogger(__name__)


class ClientSettings(msgspec.Struct, frozen=True):
    """Settings of the client's requests; times in seconds."""

    pull_max: int = 256
    """Samples that one pull returns at most, or a whole group if larger."""
    pull_wait: float = 10.0
    """For which a node may wait for samples before it answers a pull."""
    answer_margin: float = 5.0
    """Added to ``pull_wait`` as the timeout of each request."""
    first_retry: float = 0.1
    longest_retry: float = 5.0
    token: str | None = None
    """Bearer token, if the nodes require one."""


class ClientFault(msgspec.Struct, frozen=True):
    """A refusal that would be the same if the request were repeated.

    ``status`` is the HTTP status, ``reason`` the last part of the problem's
    ``type``.
    """

    status: int
    reason: str
    detail: str


class Response(msgspec.Struct, frozen=True):
    """A response of a node; ``retry_after`` in seconds."""

    status: int
    body: bytes
    retry_after: float | None = None


class Transport(abc.ABC):
    """Sends one request to one node."""

    @abc.abstractmethod
    async def fetch(
        self, url: str, method: str, body: bytes, timeout: float
    ) -> Result[Response, str]:
        """Returns the response, or why none arrived in ``timeout`` seconds."""


class HttpTransport(Transport):
    """Sends requests over HTTP.

    ``token`` is the bearer token, if the nodes require one.
    """

    def __init__(self, token: str | None = None) -> None:
        self._http = httpclient.AsyncHTTPClient(force_instance=True)
        self._headers = httputil.HTTPHeaders(
            {'Content-Type': 'application/json'}
        )
        if token is not None:
            self._headers['Authorization'] = f'Bearer {token}'

    async def fetch(
        self, url: str, method: str, body: bytes, timeout: float
    ) -> Result[Response, str]:
        """Returns the response, or why none arrived in ``timeout`` seconds."""
        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=self._headers,
            body=None if method == 'DELETE' else body,
            request_timeout=timeout,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return Error(str(error))
        if response.code == 599:
            return Error(str(response.error))
        return Ok(
            Response(
                response.code,
                response.body or b'',
                _read_seconds(response.headers.get('Retry-After')),
            )
        )

    def close(self) -> None:
        """Closes every connection."""
        self._http.close()


class _StepState(msgspec.Struct):
    body: steps.StepBody
    size: int
    received: str = ''


class _ClientState(msgspec.Struct):
    version: ids.WeightVersion = ids.WeightVersion(1)
    steps: dict[ids.StepNumber, _StepState] = {}


class _PullBody(msgspec.Struct):
    samples: tuple[steps.Sample, ...]


class _Problem(msgspec.Struct):
    type: str = ''
    detail: str = ''


class TrainerClient:
    """Client of one trainer; use a separate one for each trainer.

    ``urls`` are the base URLs of the nodes.  The client uses one node until a
    request to it fails, then the next.  ``version`` is the weight version
    that pull requests name.
    """

    def __init__(
        self,
        urls: str | Sequence[str],
        trainer: str,
        settings: ClientSettings | None = None,
        transport: Transport | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._urls = [urls] if isinstance(urls, str) else list(urls)
        self._trainer = trainer
        self._settings = settings or ClientSettings()
        self._transport = transport or HttpTransport(self._settings.token)
        self._rng = rng or random.Random()
        self._state = _ClientState()
        self._received: dict[int, bitmap.Bitmap] = {}
        self._iteration = 0

    @property
    def version(self) -> int:
        """The weight version that the trainer has reached."""
        return self._state.version

    @version.setter
    def version(self, version: int) -> None:
        self._state.version = ids.WeightVersion(version)

    async def put_step(
        self,
        step: int,
        groups: Sequence[Group],
        parameters: dict[str, object] | None = None,
        delivery: Delivery = Delivery.SAMPLE,
    ) -> Result[None, ClientFault]:
        """Starts a step; repeating it with the same contents has no effect."""
        body = steps.StepBody(
            tuple(groups),
            {
                name: msgspec.Raw(msgspec.json.encode(value))
                for name, value in (parameters or {}).items()
            },
            delivery,
        )
        size = sum(group.samples for group in groups)
        number = ids.StepNumber(step)
        known = self._state.steps.get(number)
        if known is None or msgspec.json.encode(known.body) != (
            msgspec.json.encode(body)
        ):
            self._state.steps[number] = _StepState(body, size)
            self._received[number] = bitmap.Bitmap(size)
        return await self._put(number)

    async def samples(
        self, step: int
    ) -> AsyncIterator[Result[Sample, ClientFault]]:
        """Yields each sample of a step that ``put_step`` started, once.

        Ends when every sample was received, or after one ``Error``.  A newer
        call ends an older one.  Raises ``KeyError`` if the step was not
        started.
        """
        self._iteration += 1
        iteration = self._iteration
        number = ids.StepNumber(step)
        received = self._received[number]
        while len(received) < received.size and iteration == self._iteration:
            match await self._pull(number):
                case Result(tag='ok', ok=response):
                    pass
                case Result(error=fault):
                    yield Error(fault)
                    return
            for sample in response:
                if iteration != self._iteration:
                    return
                if sample.number not in received:
                    received.add(sample.number)
                    yield Ok(sample)

    async def publish_version(
        self, version: int, weights: str
    ) -> Result[None, ClientFault]:
        """Publishes new weights under a version.

        Pull requests name this version from now on.
        """
        path = f'versions/{version}'
        body = msgspec.json.encode({'weights': weights})
        outcome = await self._send('PUT', path, body)
        if outcome.is_ok():
            self.version = version
        return outcome.map(lambda _: None)

    async def give_up(self, step: int) -> Result[None, ClientFault]:
        """Abandons a step, so that its number may be used again."""
        self.forget(step)
        outcome = await self._send('DELETE', f'steps/{step}', b'')
        return outcome.map(lambda _: None)

    def forget(self, step: int) -> None:
        """Removes a step from the state of this client."""
        self._state.steps.pop(ids.StepNumber(step), None)
        self._received.pop(step, None)

    def save(self) -> bytes:
        """Returns the client's state, to be saved with a checkpoint."""
        for number, step in self._state.steps.items():
            step.received = self._received[number].encode()
        return msgspec.json.encode(self._state)

    def restore(self, saved: bytes) -> None:
        """Replaces the state by one that ``save`` returned.

        Raises ``msgspec.DecodeError`` or ``ValueError`` if ``saved`` is
        anything else.
        """
        state = msgspec.json.decode(saved, type=_ClientState)
        received = {}
        for number, step in state.steps.items():
            match bitmap.Bitmap.decode(step.size, step.received):
                case Result(tag='ok', ok=numbers):
                    received[number] = numbers
                case Result(error=fault):
                    raise ValueError(f'step {number}: {fault}')
        self._iteration += 1
        self._state = state
        self._received = received

    async def _put(self, number: ids.StepNumber) -> Result[None, ClientFault]:
        body = msgspec.structs.replace(
            self._state.steps[number].body,
            received=self._received[number].encode(),
        )
        outcome = await self._send(
            'PUT', f'steps/{number}', msgspec.json.encode(body)
        )
        return outcome.map(lambda _: None)

    async def _pull(
        self, number: ids.StepNumber
    ) -> Result[tuple[Sample, ...], ClientFault]:
        body = self._state.steps[number].body
        largest = max(group.samples for group in body.groups)
        while True:
            request = steps.PullRequest(
                step=number,
                version=self._state.version,
                received=self._received[number].encode(),
                max=max(self._settings.pull_max, largest),
                wait_ms=round(self._settings.pull_wait * 1000),
            )
            outcome = await self._send(
                'POST', 'pull', msgspec.json.encode(request)
            )
            match outcome:
                case Result(tag='ok', ok=response):
                    pulled = msgspec.json.decode(response, type=_PullBody)
                    return Ok(pulled.samples)
                case Result(error=fault) if fault.reason != _UNKNOWN_STEP:
                    return Error(fault)
            _LOG.info(
                'step %d is unknown to the node; sending it again', number
            )
            match await self._put(number):
                case Result(tag='error', error=fault):
                    return Error(fault)

    async def _send(
        self, method: str, path: str, body: bytes
    ) -> Result[bytes, ClientFault]:
        """Repeats a request until a response arrives that is final."""
        settings = self._settings
        delay = settings.first_retry
        while True:
            url = f'{self._urls[0]}/v1/trainers/{self._trainer}/{path}'
            timeout = settings.pull_wait + settings.answer_margin
            outcome = await self._transport.fetch(url, method, body, timeout)
            match outcome:
                case Result(tag='ok', ok=response):
                    if response.status not in _RETRIED_STATUSES:
                        return _read_response(response)
                    detail = f'status {response.status}'
                    pause = max(delay, response.retry_after or 0.0)
                case Result(error=detail):
                    pause = delay
            self._urls.append(self._urls.pop(0))
            _LOG.info(
                '%s %s: %s; next nodes: %s', method, url, detail, self._urls
            )
            await asyncio.sleep(pause * self._rng.uniform(0.75, 1.25))
            delay = min(delay * 2, settings.longest_retry)


def _read_response(response: Response) -> Result[bytes, ClientFault]:
    if 200 <= response.status < 300:
        return Ok(response.body)
    problem = decoding.read_json(response.body, _Problem).default_with(
        lambda _: _Problem(
            detail=response.body[:200].decode('utf-8', 'replace')
        )
    )
    reason = problem.type.rpartition(':')[2]
    return Error(ClientFault(response.status, reason, problem.detail))


def _read_seconds(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None
