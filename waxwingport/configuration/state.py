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
Watcher = Callable[[ids.Revision], None]

_RECENT_RECORDS = 512
_VERDICTS = 1024
_LOG = logging.getLogger(__name__)


class ConfigurationState:
    """Declarations in force and their revision; revisions only grow."""

    def __init__(self) -> None:
        self.folded = fold.Folded()
        self._listeners: list[Listener] = []
        self._watchers: list[Watcher] = []
        self._grown = asyncio.Event()
        self._recent: collections.deque[base.LogRecord] = collections.deque(
            maxlen=_RECENT_RECORDS
        )
        self._verdicts: collections.OrderedDict[ids.RecordId, fold.Verdict] = (
            collections.OrderedDict()
        )

    def listen(self, listener: Listener) -> None:
        """Calls ``listener`` after each change of the declarations."""
        self._listeners.append(listener)

    def listen_for_revisions(self, watcher: Watcher) -> None:
        """Calls ``watcher`` after each change of the revision."""
        self._watchers.append(watcher)

    def apply(
        self,
        revision: ids.Revision,
        declared: declarations.Declarations,
    ) -> bool:
        """Puts ``declared`` in force unless ``revision`` is not newer."""
        return self.replace(initial_state.make_state(revision, declared))

    @property
    def revision(self) -> ids.Revision:
        """Offset of the last record folded, -1 for none."""
        return self.folded.revision

    @property
    def declarations(self) -> declarations.Declarations:
        """The declarations in force."""
        return self.folded.declarations

    def replace(self, folded: fold.Folded) -> bool:
        """Puts a whole state in force unless its revision is not newer."""
        if folded.revision <= self.revision:
            return False
        self._recent.clear()
        self._replace(folded)
        return True

    def advance(self, rows: Iterable[base.LogRecord]) -> int:
        """Folds the records that follow the revision.

        Returns how many there were; the others are passed over.
        """
        rows = fold.take_run(rows, self.revision)
        folded, verdicts = fold.fold(self.folded, rows)
        if not verdicts:
            return 0
        self._recent.extend(
            base.LogRecord(row.offset, records.shorten(row.body))
            for row in rows
        )
        for verdict in verdicts:
            self._note(verdict)
        self._replace(folded)
        return len(verdicts)

    def find_verdict(self, record_id: ids.RecordId) -> fold.Verdict | None:
        """Returns what became of a recent change, ``None`` if unknown."""
        return self._verdicts.get(record_id)

    def list_recent(
        self, since: ids.Revision
    ) -> Sequence[base.LogRecord] | None:
        """Returns the records after ``since``, snapshots shortened.

        ``None`` if they are not all remembered.
        """
        missing = self.revision - since
        if missing > len(self._recent):
            return None
        start = len(self._recent) - missing
        return [self._recent[i] for i in range(start, len(self._recent))]

    async def wait_beyond(
        self, revision: ids.Revision, timeout: float
    ) -> bool:
        """Waits until the revision is above ``revision``.

        Returns whether it is within ``timeout`` seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self.revision <= revision:
                    await self._grown.wait()
        return self.revision > revision

    def find_selector(self, group: str) -> str | None:
        """Returns the selector of a pool or service, or ``None``."""
        pool = self.declarations.find_pool(group)
        if pool is not None:
            return pool.selector
        service = self.declarations.find_service(group)
        return service.selector if service is not None else None

    def _note(self, verdict: fold.Verdict) -> None:
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
        while len(self._verdicts) > _VERDICTS:
            self._verdicts.popitem(last=False)

    def _replace(self, folded: fold.Folded) -> None:
        changed = folded.entries != self.folded.entries
        first = self.revision < 0
        self.folded = folded
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        for watcher in self._watchers:
            watcher(folded.revision)
        if not changed and not first:
            return
        for listener in self._listeners:
            listener(folded.declarations)
