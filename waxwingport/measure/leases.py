"""Measurement of the time without a holder after a holder ends."""

import asyncio
import random
import statistics

from waxwingport import ids
from waxwingport.leases import keeper
from waxwingport.measure import base
from waxwingport.membership import base as membership
from waxwingport.standins import platform as standins

__all__ = ['LeaseTakeover']

_LEASES = 20
_CANDIDATES = 3
_WARM_UP_S = 1.0
_TAKEOVER_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02


class _CandidateGroup:
    """The nodes that compete for one lease."""

    def __init__(self, log: standins.StandInLog, number: int) -> None:
        self._keepers = [
            _make_keeper(log, number, index) for index in range(_CANDIDATES)
        ]
        self._tasks = {
            candidate: asyncio.ensure_future(candidate.run())
            for candidate in self._keepers
        }

    async def measure_takeover(self, delay: float, planned: bool) -> float:
        """Stops the holder; returns the seconds until another node holds it.

        The holder releases the lease first if the stop is ``planned``.

        Raises:
            RuntimeError: No other node acquired the lease in time.
        """
        await asyncio.sleep(_WARM_UP_S + delay)
        loop = asyncio.get_running_loop()
        holder = next(
            candidate
            for candidate in self._keepers
            if candidate.get_fencing_number() is not None
        )
        if planned:
            await holder.release()
        self._tasks.pop(holder).cancel()
        start = loop.time()
        remaining = [
            candidate for candidate in self._keepers if candidate is not holder
        ]
        while all(
            candidate.get_fencing_number() is None for candidate in remaining
        ):
            if loop.time() > start + _TAKEOVER_TIMEOUT_S:
                raise RuntimeError('no candidate acquired the lease in time')
            await asyncio.sleep(_POLL_INTERVAL_S)
        for task in self._tasks.values():
            task.cancel()
        return loop.time() - start


def _make_keeper(
    log: standins.StandInLog, number: int, index: int
) -> keeper.LeaseKeeper:
    member = membership.Member(
        ids.NodeName(f'n{index}'),
        ids.DataCentre('dc'),
        f'n{index}:1',
        ids.generate_incarnation(),
    )
    stream = ids.StreamName(f'lease-{number}')
    return keeper.LeaseKeeper(log, stream, member)


class LeaseTakeover(base.Measurement):
    """Takeover after a crash and after a release, many leases at once.

    Takes about 20 s whatever the options: it has to wait for a whole lease
    duration.
    """

    name = 'lease-takeover'
    summary = 'seconds without a holder after a crash and after a release'

    async def run(self, options: base.Options) -> base.Report:
        """Measures takeovers after a crash and after a release."""
        rng = random.Random(options.seed)
        crashed, released = await asyncio.gather(
            _measure(rng, 0, False), _measure(rng, _LEASES, True)
        )
        settings = keeper.LeaseSettings()
        longest_expected = settings.duration + settings.takeover_margin
        figures = (
            base.Figure('crash: mean', statistics.fmean(crashed), 's'),
            base.Figure('crash: longest', max(crashed), 's'),
            base.Figure('duration and margin', longest_expected, 's'),
            base.Figure('release: mean', statistics.fmean(released), 's'),
            base.Figure('release: longest', max(released), 's'),
        )
        return base.Report(self.name, options, figures)


async def _measure(
    rng: random.Random, first_number: int, planned: bool
) -> list[float]:
    log = standins.StandInLog()
    groups = [
        _CandidateGroup(log, first_number + offset)
        for offset in range(_LEASES)
    ]
    spread = keeper.LeaseSettings().renewal_interval
    return await asyncio.gather(
        *(
            group.measure_takeover(rng.uniform(0, spread), planned)
            for group in groups
        )
    )
