"""Finds submissions and their owners in the view in memory and the log."""

import asyncio
import contextlib

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import outcomes
from waxwingport.submissions import model
from waxwingport.submissions import partition_state
from waxwingport.submissions import view
from waxwingport.tenancy import model as tenancy
from waxwingport.tenancy import ownership

__all__ = ['SubmissionLookup', 'refuse']

_RETRY_AFTER_S = 0.5
"""Retry-After of a refusal while the log is unavailable.  A node takes about
as long to reconnect to a log that has restarted."""
_LOOKUP_TIMEOUT_S = 0.4
"""Bounds a read of the log that decides whether a submission or further
results exist."""
_OWNER_TIMEOUT_S = 0.1
"""Bounds the read before an append, ten times its usual time; a longer wait
would only delay the answer."""
_READ_BACK_TIMEOUT_S = 1.0
"""Bounds the reads after an append.  A log that took it has just been
reachable, and the caller would have to repeat its call."""
_READ_BACK_PAUSE_S = 0.05


class SubmissionLookup:
    """Finds the submissions that a caller may use.

    ``identity`` is who calls, ``None`` if no tenants are in force.
    """

    def __init__(self, view_: view.SubmissionView) -> None:
        self._view = view_

    async def check_owner(
        self,
        submission_id: model.SubmissionId,
        identity: tenancy.Identity | None,
    ) -> Result[None, outcomes.Refusal]:
        """Fails if another tenant has a submission of this id.

        Fails with ``NOT_FOUND`` then.  If the log can't be read, what is in
        memory decides, and ``confirm_owner`` after the append: the log may
        break off a read and take an append just after that.  Without an
        ``identity`` the log is not read.
        """
        if identity is None:
            return Ok(None)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_OWNER_TIMEOUT_S):
                await self.find(submission_id, identity)
        if self._view.find_in_memory(submission_id) is None:
            return Ok(None)
        own = self._view.find_in_memory(
            submission_id,
            lambda submission: ownership.may_use(submission.tenant, identity),
        )
        return Ok(None) if own else Error(_make_not_found(submission_id))

    async def confirm_owner(
        self,
        partition: view.SubmissionPartition,
        submission_id: model.SubmissionId,
        identity: tenancy.Identity,
    ) -> Result[None, outcomes.Refusal]:
        """Reads back who owns a submission after an append.

        Of two tenants that submit the same id at once, the one whose record
        comes first in the log has it; the other gets ``NOT_FOUND``.  Fails
        with ``UNKNOWN_OUTCOME`` if the log can't be read.
        """
        entry = partition.state.find(submission_id)
        if entry is None:
            match await _read_to_end(partition):
                case Result(tag='error', error=detail):
                    return Error(
                        outcomes.Refusal(
                            outcomes.Reason.UNKNOWN_OUTCOME,
                            detail,
                            outcomes.Ran.UNKNOWN,
                        )
                    )
            entry = partition.state.find(submission_id)
        if entry is not None and not ownership.may_use(
            entry.submission.tenant, identity
        ):
            return Error(_make_not_found(submission_id))
        return Ok(None)

    async def find(
        self,
        submission_id: model.SubmissionId,
        identity: tenancy.Identity | None,
    ) -> Result[
        tuple[view.SubmissionPartition, partition_state.Entry],
        outcomes.Refusal,
    ]:
        """Returns a submission's partition and entry.

        Fails with ``NOT_FOUND`` if there is none that the caller may use, and
        with ``LOG_UNAVAILABLE`` if the log can't be read for that.
        """
        try:
            async with asyncio.timeout(_LOOKUP_TIMEOUT_S):
                found = await self._view.find(
                    submission_id,
                    lambda submission: ownership.may_use(
                        submission.tenant, identity
                    ),
                )
        except TimeoutError:
            return Error(
                refuse(
                    f'the log did not answer within {_LOOKUP_TIMEOUT_S:g} s'
                )
            )
        match found:
            case Result(tag='ok', ok=(partition, entry)):
                return Ok((partition, entry))
            case Result(tag='ok'):
                return Error(_make_not_found(submission_id))
            case Result(error=fault):
                return Error(refuse(fault.detail))

    async def catch_up(
        self, partition: view.SubmissionPartition
    ) -> Result[None, outcomes.Refusal]:
        """Reads a partition on, unless it was read to its end just before."""
        freshness = self._view.settings.freshness
        try:
            async with asyncio.timeout(_LOOKUP_TIMEOUT_S):
                found = await partition.tail.catch_up(freshness)
        except TimeoutError:
            return Error(
                refuse(
                    f'the log did not answer within {_LOOKUP_TIMEOUT_S:g} s'
                )
            )
        return found.map_error(lambda fault: refuse(fault.detail))


def refuse(detail: str) -> outcomes.Refusal:
    """Returns the refusal of a call that needs the log."""
    return outcomes.Refusal(
        outcomes.Reason.LOG_UNAVAILABLE, detail, retry_after=_RETRY_AFTER_S
    )


def _make_not_found(submission_id: model.SubmissionId) -> outcomes.Refusal:
    return outcomes.Refusal(
        outcomes.Reason.NOT_FOUND, f'no submission {submission_id!r}'
    )


async def _read_to_end(
    partition: view.SubmissionPartition,
) -> Result[None, str]:
    """Reads a partition to its end; fails with why that is impossible.

    Repeats a read that the log breaks off.
    """
    detail = f'the log did not answer within {_READ_BACK_TIMEOUT_S:g} s'
    try:
        async with asyncio.timeout(_READ_BACK_TIMEOUT_S):
            while True:
                match await partition.tail.read_to_end():
                    case Result(tag='ok'):
                        return Ok(None)
                    case Result(error=fault):
                        detail = fault.detail
                await asyncio.sleep(_READ_BACK_PAUSE_S)
    except TimeoutError:
        return Error(detail)
