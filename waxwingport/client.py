"""Client for trainers: puts steps, iterates over samples, publishes versions.

The trainer's bitmap of received sample numbers is the record of what was
delivered.  This client keeps it, pulls one request at a time, repeats a
request whose answer was lost, and saves its place with the trainer's
checkpoint::

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
_PASSING = (408, 425, 429, 500, 502, 503, 504)
_LOG = logging.getLogger(__name__)


class ClientSettings(msgspec.Struct, frozen=True):
    """How the client asks; times in seconds."""

    pull_max: int = 256
    pull_wait: float = 10.0
    answer_margin: float = 5.0
    """How much later than asked an answer may come."""
    first_retry: float = 0.1
    longest_retry: float = 5.0
    token: str | None = None
    """Bearer token, where the nodes ask for one."""


class ClientFault(msgspec.Struct, frozen=True):
    """A refusal that repeating does not help.

    ``reason`` is the last part of the problem's type.
    """

    status: int
    reason: str
    detail: str


class Response(msgspec.Struct, frozen=True):
    """An answer of a node."""

    status: int
    body: bytes
    retry_after: float | None = None


class Transport(abc.ABC):
    """Sends one request to one node."""

    @abc.abstractmethod
    async def fetch(
        self, url: str, method: str, body: bytes, timeout: float
    ) -> Result[Response, str]:
        """Returns the answer, or why none came; ``timeout`` in seconds."""


class HttpTransport(Transport):
    """Requests over HTTP."""

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
        """Returns the answer, or why none came."""
        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=self._headers,
            body=None if method == 'DELETE' else body,
            request_timeout=timeout,
        )
        try:
            answer = await self._http.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return Error(str(error))
        if answer.code == 599:
            return Error(str(answer.error))
        return Ok(
            Response(
                answer.code,
                answer.body or b'',
                _read_seconds(answer.headers.get('Retry-After')),
            )
        )

    def close(self) -> None:
        """Closes every connection."""
        self._http.close()


class _StepPlace(msgspec.Struct):
    body: steps.StepBody
    size: int
    received: str = ''


class _Place(msgspec.Struct):
    version: ids.WeightVersion = ids.WeightVersion(1)
    steps: dict[ids.StepNumber, _StepPlace] = {}


class _PullBody(msgspec.Struct):
    samples: tuple[steps.Sample, ...]


class _Problem(msgspec.Struct):
    type: str = ''
    detail: str = ''


class TrainerClient:
    """One trainer's side of the protocol; use one for each trainer.

    ``urls`` are base URLs of nodes: the client stays with one and moves on
    when it is gone.  ``version`` is the one that pulls state.
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
        self._place = _Place()
        self._received: dict[int, bitmap.Bitmap] = {}
        self._turn = 0

    @property
    def version(self) -> int:
        """The weight version that the trainer is at."""
        return self._place.version

    @version.setter
    def version(self, version: int) -> None:
        self._place.version = ids.WeightVersion(version)

    async def put_step(
        self,
        step: int,
        groups: Sequence[Group],
        parameters: dict[str, object] | None = None,
        delivery: Delivery = Delivery.SAMPLE,
    ) -> Result[None, ClientFault]:
        """Starts a step; the same one again changes nothing."""
        body = steps.StepBody(
            tuple(groups),
            {
                name: msgspec.Raw(msgspec.json.encode(value))
                for name, value in (parameters or {}).items()
            },
            delivery,
        )
        size = sum(row.samples for row in groups)
        number = ids.StepNumber(step)
        known = self._place.steps.get(number)
        if known is None or msgspec.json.encode(known.body) != (
            msgspec.json.encode(body)
        ):
            self._place.steps[number] = _StepPlace(body, size)
            self._received[number] = bitmap.Bitmap(size)
        return await self._put(number)

    async def samples(
        self, step: int
    ) -> AsyncIterator[Result[Sample, ClientFault]]:
        """Yields each sample of a step that was put, once.

        Ends when the step is whole, or after one ``Error``.  A newer call
        ends an older one.
        """
        self._turn += 1
        turn = self._turn
        number = ids.StepNumber(step)
        received = self._received[number]
        while len(received) < received.size and turn == self._turn:
            match await self._pull(number):
                case Result(tag='ok', ok=answer):
                    pass
                case Result(error=fault):
                    yield Error(fault)
                    return
            for sample in answer:
                if turn != self._turn:
                    return
                if sample.number not in received:
                    received.add(sample.number)
                    yield Ok(sample)

    async def publish_version(
        self, version: int, weights: str
    ) -> Result[None, ClientFault]:
        """Publishes new weights; pulls state this version from now on."""
        path = f'versions/{version}'
        body = msgspec.json.encode({'weights': weights})
        outcome = await self._send('PUT', path, body)
        if outcome.is_ok():
            self.version = version
        return outcome.map(lambda _: None)

    async def give_up(self, step: int) -> Result[None, ClientFault]:
        """Gives a step up, so that its number may be used anew."""
        self.forget(step)
        outcome = await self._send('DELETE', f'steps/{step}', b'')
        return outcome.map(lambda _: None)

    def forget(self, step: int) -> None:
        """Drops a step from this client's place."""
        self._place.steps.pop(ids.StepNumber(step), None)
        self._received.pop(step, None)

    def save(self) -> bytes:
        """Returns the place, to be kept with the trainer's checkpoint."""
        for number, row in self._place.steps.items():
            row.received = self._received[number].encode()
        return msgspec.json.encode(self._place)

    def restore(self, saved: bytes) -> None:
        """Goes on from a place that ``save`` returned.

        Raises ``msgspec.DecodeError`` or ``ValueError`` if it did not.
        """
        place = msgspec.json.decode(saved, type=_Place)
        received = {}
        for number, row in place.steps.items():
            match bitmap.Bitmap.decode(row.size, row.received):
                case Result(tag='ok', ok=found):
                    received[number] = found
                case Result(error=fault):
                    raise ValueError(f'step {number}: {fault}')
        self._turn += 1
        self._place = place
        self._received = received

    async def _put(self, number: ids.StepNumber) -> Result[None, ClientFault]:
        body = msgspec.structs.replace(
            self._place.steps[number].body,
            received=self._received[number].encode(),
        )
        outcome = await self._send(
            'PUT', f'steps/{number}', msgspec.json.encode(body)
        )
        return outcome.map(lambda _: None)

    async def _pull(
        self, number: ids.StepNumber
    ) -> Result[tuple[Sample, ...], ClientFault]:
        body = self._place.steps[number].body
        largest = max(row.samples for row in body.groups)
        while True:
            request = steps.PullRequest(
                step=number,
                version=self._place.version,
                received=self._received[number].encode(),
                max=max(self._settings.pull_max, largest),
                wait_ms=round(self._settings.pull_wait * 1000),
            )
            outcome = await self._send(
                'POST', 'pull', msgspec.json.encode(request)
            )
            match outcome:
                case Result(tag='ok', ok=answer):
                    found = msgspec.json.decode(answer, type=_PullBody)
                    return Ok(found.samples)
                case Result(error=fault) if fault.reason != _UNKNOWN_STEP:
                    return Error(fault)
            _LOG.info('step %d is not known, putting it again', number)
            match await self._put(number):
                case Result(tag='error', error=fault):
                    return Error(fault)

    async def _send(
        self, method: str, path: str, body: bytes
    ) -> Result[bytes, ClientFault]:
        """Sends until an answer comes that repeating would not change."""
        settings = self._settings
        delay = settings.first_retry
        while True:
            url = f'{self._urls[0]}/v1/trainers/{self._trainer}/{path}'
            timeout = settings.pull_wait + settings.answer_margin
            outcome = await self._transport.fetch(url, method, body, timeout)
            match outcome:
                case Result(tag='ok', ok=answer):
                    if answer.status not in _PASSING:
                        return _judge(answer)
                    detail = f'status {answer.status}'
                    pause = max(delay, answer.retry_after or 0.0)
                case Result(error=detail):
                    pause = delay
            self._urls.append(self._urls.pop(0))
            _LOG.info('%s %s: %s; trying %s', method, url, detail, self._urls)
            await asyncio.sleep(pause * self._rng.uniform(0.75, 1.25))
            delay = min(delay * 2, settings.longest_retry)


def _judge(answer: Response) -> Result[bytes, ClientFault]:
    if 200 <= answer.status < 300:
        return Ok(answer.body)
    try:
        problem = msgspec.json.decode(answer.body, type=_Problem)
    except msgspec.DecodeError:
        problem = _Problem(detail=answer.body[:200].decode('utf-8', 'replace'))
    reason = problem.type.rpartition(':')[2]
    return Error(ClientFault(answer.status, reason, problem.detail))


def _read_seconds(text: str | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None
