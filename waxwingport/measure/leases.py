"""Time without a holder when a lease changes hands."""

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
_SETTLE = 1.0
_LONGEST = 20.0
_POLL = 0.02


class _Contest:
    """One lease, its candidates, and when it changes hands."""

    def __init__(self, log: standins.StandInLog, number: int) -> None:
        self._keepers = [
            _make_keeper(log, number, name) for name in range(_CANDIDATES)
        ]
        self._tasks = {
            row: asyncio.ensure_future(row.run()) for row in self._keepers
        }

    async def hand_over(self, delay: float, planned: bool) -> float:
        """Ends the holder; returns the seconds until there is another."""
        await asyncio.sleep(_SETTLE + delay)
        loop = asyncio.get_running_loop()
        holder = next(
            row
            for row in self._keepers
            if row.get_fencing_number() is not None
        )
        if planned:
            await holder.release()
        self._tasks.pop(holder).cancel()
        begin = loop.time()
        rest = [row for row in self._keepers if row is not holder]
        while all(row.get_fencing_number() is None for row in rest):
            if loop.time() > begin + _LONGEST:
                raise RuntimeError('nobody took the lease over')
            await asyncio.sleep(_POLL)
        for task in self._tasks.values():
            task.cancel()
        return loop.time() - begin


def _make_keeper(
    log: standins.StandInLog, number: int, name: int
) -> keeper.LeaseKeeper:
    own = membership.Member(
        ids.NodeName(f'n{name}'),
        ids.DataCentre('dc'),
        f'n{name}:1',
        ids.generate_incarnation(),
    )
    stream = ids.StreamName(f'lease-{number}')
    return keeper.LeaseKeeper(log, stream, own)


class LeaseTakeover(base.Measurement):
    """Takeover after a crash and after a release, many leases at once.

    Runs for about 20 s: the duration of a lease can't be shortened.
    """

    name = 'lease-takeover'
    summary = 'seconds without a holder after a crash and after a release'

    async def run(self, options: base.Options) -> base.Report:
        """Measures and returns the figures."""
        rng = random.Random(options.seed)
        crashed, released = await asyncio.gather(
            _measure(rng, 0, False), _measure(rng, _LEASES, True)
        )
        settings = keeper.LeaseSettings()
        longest = settings.duration + settings.takeover_margin
        figures = (
            base.Figure('crash: mean', statistics.fmean(crashed), 's'),
            base.Figure('crash: longest', max(crashed), 's'),
            base.Figure('duration and margin', longest, 's'),
            base.Figure('release: mean', statistics.fmean(released), 's'),
            base.Figure('release: longest', max(released), 's'),
        )
        return base.Report(self.name, options, figures)


async def _measure(
    rng: random.Random, first: int, planned: bool
) -> list[float]:
    log = standins.StandInLog()
    contests = [_Contest(log, first + row) for row in range(_LEASES)]
    spread = keeper.LeaseSettings().renewal_interval
    return await asyncio.gather(
        *(row.hand_over(rng.uniform(0, spread), planned) for row in contests)
    )
