"""The configuration in force at this node."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import logging

from waxwingport.configuration import declarations
from waxwingport.configuration import fold
from waxwingport.configuration import initial_state
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.outside import base

__all__ = ['ConfigurationState']

Listener = Callable[[declarations.Declarations], None]
RevisionListener = Callable[[ids.Revision], None]

_MAX_RECENT_RECORDS = 512
"""Records kept to be sent to peers that have an older revision."""
_MAX_VERDICTS = 1024
"""Verdicts kept for publishers that wait for them."""
_LOG = logging.getLogger(__name__)


class ConfigurationState:
    """The declarations in force and their revision, which never decreases."""

    def __init__(self) -> None:
        self.folded = fold.FoldedState()
        self._listeners: list[Listener] = []
        self._revision_listeners: list[RevisionListener] = []
        self._advanced = asyncio.Event()
        self._recent: collections.deque[base.LogRecord] = collections.deque(
            maxlen=_MAX_RECENT_RECORDS
        )
        self._verdicts: collections.OrderedDict[ids.RecordId, fold.Verdict] = (
            collections.OrderedDict()
        )

    def listen(self, listener: Listener) -> None:
        """Calls ``listener`` after each change of the declarations."""
        self._listeners.append(listener)

    def listen_for_revisions(self, listener: RevisionListener) -> None:
        """Calls ``listener`` after each change of the revision."""
        self._revision_listeners.append(listener)

    def apply(
        self,
        revision: ids.Revision,
        declared: declarations.Declarations,
    ) -> bool:
        """Puts ``declared`` in force as ``revision``.

        Returns false, without a change, if ``revision`` is not newer.
        """
        return self.replace(initial_state.make_state(revision, declared))

    @property
    def revision(self) -> ids.Revision:
        """Offset of the last record folded, -1 before the first."""
        return self.folded.revision

    @property
    def declarations(self) -> declarations.Declarations:
        """The declarations in force."""
        return self.folded.declarations

    def replace(self, folded: fold.FoldedState) -> bool:
        """Replaces the state; returns false if its revision is not newer."""
        if folded.revision <= self.revision:
            return False
        self._recent.clear()
        self._replace(folded)
        return True

    def advance(self, found: Iterable[base.LogRecord]) -> int:
        """Folds the records that follow the revision without a gap.

        Returns how many were folded; the others are ignored.
        """
        found = fold.select_contiguous(found, self.revision)
        folded, verdicts = fold.fold(self.folded, found)
        if not verdicts:
            return 0
        self._recent.extend(
            base.LogRecord(record.offset, records.shorten(record.body))
            for record in found
        )
        for verdict in verdicts:
            self._record_verdict(verdict)
        self._replace(folded)
        return len(verdicts)

    def find_verdict(self, record_id: ids.RecordId) -> fold.Verdict | None:
        """Returns the verdict on a recent change, ``None`` if unknown."""
        return self._verdicts.get(record_id)

    def list_recent(
        self, since: ids.Revision
    ) -> Sequence[base.LogRecord] | None:
        """Returns the records after ``since``, snapshots shortened.

        Returns ``None`` if some of them are no longer kept.
        """
        missing = self.revision - since
        if missing > len(self._recent):
            return None
        start = len(self._recent) - missing
        return [self._recent[i] for i in range(start, len(self._recent))]

    async def wait_beyond(
        self, revision: ids.Revision, timeout: float
    ) -> bool:
        """Waits until the revision exceeds ``revision``.

        Returns false if it does not within ``timeout`` seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self.revision <= revision:
                    await self._advanced.wait()
        return self.revision > revision

    def find_selector(self, group: str) -> str | None:
        """Returns the selector of the pool or service, or ``None``."""
        pool = self.declarations.find_pool(group)
        if pool is not None:
            return pool.selector
        service = self.declarations.find_service(group)
        return service.selector if service is not None else None

    def _record_verdict(self, verdict: fold.Verdict) -> None:
        level = logging.INFO
        if verdict.kind is fold.VerdictKind.SKIPPED:
            level = logging.ERROR
        _LOG.log(
            level,
            'configuration offset=%d record=%s verdict=%s detail=%s',
            verdict.offset,
            verdict.record_id,
            verdict.kind.value,
            verdict.detail,
        )
        if verdict.kind is fold.VerdictKind.REPEATED:
            return
        if verdict.record_id is not None:
            self._verdicts[verdict.record_id] = verdict
        while len(self._verdicts) > _MAX_VERDICTS:
            self._verdicts.popitem(last=False)

    def _replace(self, folded: fold.FoldedState) -> None:
        changed = folded.entries != self.folded.entries
        first = self.revision < 0
        self.folded = folded
        advanced, self._advanced = self._advanced, asyncio.Event()
        advanced.set()
        for revision_listener in self._revision_listeners:
            revision_listener(folded.revision)
        if not changed and not first:
            return
        for listener in self._listeners:
            listener(folded.declarations)
