"""Generates the text of one item, in one or more runs."""

import asyncio
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

__all__ = ['End', 'Generator', 'Text', 'is_usable', 'restore']

_FIRST_EVENT_TIMEOUT = 3.0
"""Seconds: the longest queue of an engine and a load of weights ahead of a
run, after which its answer counts as lost."""
_SILENCE_TIMEOUT = 1.2
"""Seconds between two events, ten times the pause that a trainer's sheet
allows."""
_RUN_TIMEOUT = 120.0
"""Seconds for a whole run; silence is what usually ends one."""
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


def restore(draft: model.Draft | None) -> Text:
    """Returns the text to go on from."""
    if draft is None:
        return Text([], [])
    return Text(list(draft.events), list(draft.versions))


class Generator:
    """Runs items at engines."""

    def __init__(self, sender: attempts.Sender) -> None:
        self._sender = sender

    def make_reward_call(self, reward: model.RewardCall) -> dialect.Call:
        """Returns the request that scores a text."""
        return self._sender.dialect.make_reward_call(reward)

    async def run(
        self,
        submission: model.Submission,
        item: model.Item,
        text: Text,
        target: fleet.Target,
        single_version: bool,
    ) -> Result[None, tuple[End, str]]:
        """Adds to ``text`` until it is whole.

        Fails with how the run ended and why; what it generated until then
        stays in ``text``.
        """
        target.running += 1
        try:
            return await self._run(
                submission, item, text, target, single_version
            )
        finally:
            target.running -= 1

    async def _run(
        self,
        submission: model.Submission,
        item: model.Item,
        text: Text,
        target: fleet.Target,
        single_version: bool,
    ) -> Result[None, tuple[End, str]]:
        dialect_ = self._sender.dialect
        call = dialect_.make_item_call(item, submission.host)
        pinned = text.versions[-1] if single_version and text.events else None
        expected = dialect.Expectations(
            target.entry.instance,
            remaining=_RUN_TIMEOUT,
            resume_after=len(text.events) or None,
            version=pinned,
        )
        try:
            async with asyncio.timeout(_FIRST_EVENT_TIMEOUT):
                opened = await attempts.open_attempt(
                    self._sender, call, target, expected, _RUN_TIMEOUT, False
                )
        except TimeoutError:
            opened = attempts.Lost(health.Sign.BROKEN, 'no answer in time')
        match opened:
            case attempts.NotRun(detail=detail):
                attempts.note_outcome(target, opened)
                return Error((End.NOT_RUN, detail))
            case attempts.Lost(detail=detail):
                attempts.note_outcome(target, opened)
                return Error((End.BROKEN, detail))
            case (response, facts):
                pass
        now = asyncio.get_running_loop().time()
        attempts.note_facts(target, facts, now)
        try:
            return await self._read(
                submission, text, target, response, facts, single_version
            )
        finally:
            response.close()

    async def _read(
        self,
        submission: model.Submission,
        text: Text,
        target: fleet.Target,
        response: client.Response,
        facts: dialect.AnswerFacts,
        single_version: bool,
    ) -> Result[None, tuple[End, str]]:
        if response.status == _NEVER:
            return Error((End.IMPOSSIBLE, f'answered {response.status}'))
        if response.status != 200:
            now = asyncio.get_running_loop().time()
            health.note_failure(target, health.Sign.FAILED, now)
            return Error((End.FAILED, f'answered {response.status}'))
        version = facts.version
        if version is None:
            return Error((End.BROKEN, 'answer without a version'))
        reader = events.EventReader(self._sender.dialect.read_event_version)
        while True:
            piece = await _read_piece(response)
            if piece is None:
                health.note_success(target)
                return Ok(None)
            if not isinstance(piece, bytes):
                now = asyncio.get_running_loop().time()
                health.note_failure(target, health.Sign.BROKEN, now)
                return Error((End.BROKEN, piece.detail))
            for event in reader.feed(piece):
                version = event.version or version
                target.note_version(submission.model, version)
                problem = _check_event(
                    event, version, text, submission, single_version
                )
                if problem is not None:
                    return Error(problem)
                text.add(event.data, version)


async def _read_piece(
    response: client.Response,
) -> bytes | client.TransportFault | None:
    try:
        async with asyncio.timeout(_SILENCE_TIMEOUT):
            return await response.read_piece()
    except TimeoutError:
        return client.TransportFault(
            client.TransportFaultKind.SILENT, 'stream fell silent', True
        )


def _check_event(
    event: events.Event,
    version: ids.WeightVersion,
    text: Text,
    submission: model.Submission,
    single_version: bool,
) -> tuple[End, str] | None:
    if event.number != len(text.events) + 1:
        detail = f'event {event.number} after {len(text.events)}'
        return End.BROKEN, detail
    if version < submission.minimum_version:
        detail = f'version {version} < {submission.minimum_version}'
        return End.OUTDATED, detail
    if single_version and text.versions and version != text.versions[-1]:
        # The text has to come from one version: the older part is of no use.
        text.clear()
        return End.BROKEN, f'version changed to {version}'
    return None
