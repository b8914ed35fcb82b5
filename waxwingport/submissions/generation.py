"""Generates the text of one item, in one or more runs."""

import asyncio
from collections.abc import Callable
import enum
import logging

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.fleet import health
from waxwingport.fleet import model as fleet
from waxwingport.gateway import attempts
from waxwingport.gateway import dialect
from waxwingport.http import client
from waxwingport import ids
from waxwingport.submissions import events
from waxwingport.submissions import model

__all__ = [
    'End',
    'Generator',
    'Outcome',
    'Run',
    'Text',
    'is_usable',
]

_FIRST_EVENT_TIMEOUT = 1.5
"""Seconds: a load of weights ahead of a run at an engine with a free slot,
after which its answer counts as lost."""
_QUEUE_TIMEOUT = 4.0
"""Seconds likewise where requests of other nodes may be ahead."""
_SILENCE_TIMEOUT = 1.2
"""Seconds between two events, ten times the pause that a trainer's sheet
allows."""
_RUN_TIMEOUT = 120.0
"""Seconds for a whole run; silence is what usually ends one."""
_ITEM_PRIORITY = 5
"""Priority at engines of the most urgent route's items: after every stream
that a caller waits for."""
_LEAST_URGENT = 9
_NEVER = 422

_LOG = logging.getLogger(__name__)


class End(enum.Enum):
    """How a run of an item ended."""

    BROKEN = 'broken'
    """It stopped midway or gave no answer; it can go on elsewhere."""
    COMPLETE = 'complete'
    FAILED = 'failed'
    """The engine answered that this run failed."""
    IMPOSSIBLE = 'impossible'
    """The engine answered that the item can never be done."""
    MOVED = 'moved'
    """It had better go on at another engine."""
    NOT_RUN = 'not-run'
    OUTDATED = 'outdated'
    """The engine's weights are older than the submission allows."""


class Text(msgspec.Struct, eq=False):
    """What has been generated of an item, over all of its runs."""

    events: list[str]
    versions: list[ids.WeightVersion]
    """Each version that generated an event, once, in order."""

    def clear(self) -> None:
        """Starts from nothing."""
        self.events.clear()
        self.versions.clear()

    def add(self, data: str, version: ids.WeightVersion) -> None:
        """Takes the next event."""
        self.events.append(data)
        if version not in self.versions:
            self.versions.append(version)


def is_usable(
    versions: tuple[ids.WeightVersion, ...],
    minimum: ids.WeightVersion,
    single_version: bool,
) -> bool:
    """Returns whether a text of these versions may be used."""
    if not versions or min(versions) < minimum:
        return False
    return len(versions) == 1 or not single_version


class Run(msgspec.Struct, frozen=True):
    """One run of an item at an engine."""

    submission: model.Submission
    item: model.Item
    text: Text
    target: fleet.Target
    single_version: bool
    priority: int
    """Of its route; 0 is the most urgent."""
    may_move: Callable[[], bool]
    """Asked between events whether the run had better end here and go on
    elsewhere."""


Outcome = Result[None, tuple[End, str]]


class Generator:
    """Runs items at engines."""

    def __init__(self, sender: attempts.Sender) -> None:
        self._sender = sender

    async def run(self, run: Run) -> Outcome:
        """Adds to the run's text until it is whole.

        Fails with how the run ended and why; what it generated until then
        stays in the text.
        """
        opened = await self._open(run)
        now = asyncio.get_running_loop().time()
        match opened:
            case attempts.NotRun(
                signal=health.HealthSignal.FULL, detail=detail
            ):
                run.target.pause_model(run.submission.model, now)
                return Error((End.NOT_RUN, detail))
            case attempts.NotRun(signal=health.HealthSignal.MOVED) if (
                _is_pinned(run)
            ):
                # Another version, or another instance: the next run, which
                # asks for no version, tells.
                run.text.clear()
                return Error((End.NOT_RUN, 'no longer that version'))
            case attempts.NotRun(detail=detail):
                attempts.record_outcome(run.target, opened)
                return Error((End.NOT_RUN, detail))
            case attempts.Lost(detail=detail):
                attempts.record_outcome(run.target, opened)
                return Error((End.BROKEN, detail))
            case (response, facts):
                pass
        attempts.record_load_report(run.target, facts, now)
        run.target.resume_model(run.submission.model)
        try:
            return await self._read(run, response, facts)
        finally:
            response.close()

    async def _open(
        self, run: Run
    ) -> (
        tuple[client.Response, dialect.AnswerHead]
        | attempts.NotRun
        | attempts.Lost
    ):
        spelling = self._sender.dialect
        call = spelling.make_item_call(run.item, run.submission.host)
        pinned = run.text.versions[-1] if _is_pinned(run) else None
        expected = dialect.Expectations(
            run.target.entry.instance,
            remaining=_RUN_TIMEOUT,
            resume_after=len(run.text.events) or None,
            version=pinned,
            priority=min(_LEAST_URGENT, _ITEM_PRIORITY + run.priority),
        )
        try:
            async with asyncio.timeout(_choose_head_timeout(run.target)):
                return await attempts.open_attempt(
                    self._sender,
                    call,
                    run.target,
                    expected,
                    _RUN_TIMEOUT,
                    False,
                )
        except TimeoutError:
            return attempts.Lost(
                health.HealthSignal.BROKEN, 'no answer in time'
            )

    async def _read(
        self,
        run: Run,
        response: client.Response,
        facts: dialect.AnswerHead,
    ) -> Outcome:
        now = asyncio.get_running_loop().time()
        if response.status == _NEVER:
            return Error((End.IMPOSSIBLE, f'answered {response.status}'))
        if response.status != 200:
            health.record_failure(run.target, health.HealthSignal.FAILED, now)
            return Error((End.FAILED, f'answered {response.status}'))
        recorder = _Recorder(
            run, facts.version, self._sender.dialect.read_event_version
        )
        while True:
            piece = await _read_piece(response)
            if piece is None:
                health.record_success(run.target)
                return Ok(None)
            if not isinstance(piece, bytes):
                now = asyncio.get_running_loop().time()
                health.record_failure(
                    run.target, health.HealthSignal.BROKEN, now
                )
                return Error((End.BROKEN, piece.detail))
            problem = recorder.feed(piece)
            if problem is not None:
                return Error(problem)
            if run.may_move():
                return Error((End.MOVED, 'quicker elsewhere'))


class _Recorder:
    """Adds the events of one run to its text."""

    def __init__(
        self,
        run: Run,
        version: ids.WeightVersion | None,
        read_version: events.VersionReader,
    ) -> None:
        self._run = run
        self._version = version
        self._reader = events.EventReader(read_version)
        self._last_at: float | None = None

    def feed(self, data: bytes) -> tuple[End, str] | None:
        """Takes a piece of the stream; returns why the run has to end."""
        run = self._run
        for event in self._reader.feed(data):
            self._version = event.version or self._version
            if self._version is None:
                return End.BROKEN, 'event without a version'
            run.target.record_version(run.submission.model, self._version)
            problem = _check_event(event, self._version, run)
            if problem is not None:
                return problem
            run.text.add(event.data, self._version)
            self._note_pace()
        return None

    def _note_pace(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._last_at is not None:
            self._run.target.record_event_gap(now - self._last_at)
        self._last_at = now


def _is_pinned(run: Run) -> bool:
    """Returns whether only one version of the weights will do."""
    return run.single_version and bool(run.text.versions)


def _choose_head_timeout(target: fleet.Target) -> float:
    now = asyncio.get_running_loop().time()
    if target.compute_load(now) > target.entry.slots:
        return _QUEUE_TIMEOUT
    return _FIRST_EVENT_TIMEOUT


async def _read_piece(
    response: client.Response,
) -> bytes | client.TransportFault | None:
    try:
        async with asyncio.timeout(_SILENCE_TIMEOUT):
            return await response.read_chunk()
    except TimeoutError:
        return client.TransportFault(
            client.TransportFaultKind.SILENT, 'stream fell silent', True
        )


def _check_event(
    event: events.Event, version: ids.WeightVersion, run: Run
) -> tuple[End, str] | None:
    text = run.text
    if event.number != len(text.events) + 1:
        return End.BROKEN, f'event {event.number} after {len(text.events)}'
    minimum = run.submission.minimum_version
    if version < minimum:
        return End.OUTDATED, f'version {version} < {minimum}'
    if run.single_version and text.versions and version != text.versions[-1]:
        # The text has to come from one version: the older part is of no use.
        text.clear()
        return End.BROKEN, f'version changed to {version}'
    return None
