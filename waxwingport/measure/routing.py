"""Measurements of routing decisions."""

import asyncio
import random
import time

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.routing import candidates
from waxwingport.routing import choice
from waxwingport.targets import base as targets

__all__ = ['RoutingRate']

_TARGETS = 400
_BATCH = 100


class RoutingRate(base.Measurement):
    """Routing decisions a second on one core at 400 targets."""

    name = 'routing-rate'
    summary = 'routing decisions a second at 400 targets'

    async def run(self, options: base.Options) -> base.Report:
        """Measures and returns the rate."""
        rng = random.Random(options.seed)
        rows = [_make_candidate(index, rng) for index in range(_TARGETS)]
        work = candidates.Work(
            request_id=ids.RequestId('r'),
            group='pool',
            owner='caller',
            work_class=candidates.WorkClass.LIVE,
            deadline=0.0,
        )
        done = 0
        start = time.process_time()
        while time.process_time() - start < options.seconds:
            for _ in range(_BATCH):
                choice.choose(work, rows, rng)
            done += _BATCH
            await asyncio.sleep(0)
        rate = done / (time.process_time() - start)
        figure = base.Figure('decisions', rate, '1/s of one core')
        return base.Report(self.name, options, (figure,))


def _make_candidate(index: int, rng: random.Random) -> candidates.Candidate:
    return candidates.Candidate(
        name=ids.TargetName(f'engine-{index}'),
        data_centre=ids.DataCentre('muenchen'),
        labels={},
        state=candidates.TargetState.LIVE,
        report=targets.LoadReport(rng.randrange(16), 0, 16),
    )
