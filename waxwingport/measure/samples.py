"""Measurements of sample collection, in virtual time against a baseline."""

import random
import time
import tracemalloc

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.measure import rollouts
from waxwingport.measure import virtual
from waxwingport.samples import bitmap
from waxwingport.samples import ledger
from waxwingport.samples import planner
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.trial import deployments

__all__ = ['SampleFaults', 'SamplePlan', 'Samples']

_STEPS_PER_SECOND = 0.4
_LEAST_STEPS = 4
_IDLE_TARGET = 0.5
"""Share of the baseline's idle share."""
_LEAST_IDLE = 0.001
"""Idle share that stands for none in a quotient."""
_WASTE_TARGET = 0.05
_PLAN_TRAINERS = 6
_PLAN_SAMPLES = (512, 1024, 2048, 4096)
_GROUP_SAMPLES = 16
_MILLISECONDS = 1000
_MIB = 1024 * 1024

_PLAIN = {
    'plain': {},
    'stragglers': {'spread': 0.7, 'slow_engine': 2.0},
}
_FAULTS = {
    'crashes': {'crashes': True},
    'log down': {'log_down': True},
    'cut off': {'cut_off': True},
}


class Samples(base.Measurement):
    """Idle time and staleness at both deployments, with stragglers."""

    name = 'samples'
    summary = (
        'trainer idle time, staleness, waste and swaps against first come '
        'first served (virtual time)'
    )
    variants = _PLAIN

    async def run(self, options: base.Options) -> base.Report:
        """Measures both deployments under every variant."""
        figures: list[base.Figure] = []
        for name, found in deployments.DEPLOYMENTS.items():
            for variant, changes in self.variants.items():
                conditions = rollouts.Conditions(
                    deployment=found,
                    steps=max(
                        _LEAST_STEPS,
                        round(options.seconds * _STEPS_PER_SECOND),
                    ),
                    seed=options.seed,
                    **changes,
                )
                figures += await _compare(f'{name} {variant}', conditions)
        return base.Report(self.name, options, tuple(figures))


class SampleFaults(Samples):
    """The same with crashes, without the log, with a data centre cut off."""

    name = 'sample-faults'
    summary = (
        'the same with an engine crashing each minute, the log down, a data '
        'centre cut off (virtual time)'
    )
    variants = _FAULTS


async def _compare(
    label: str, conditions: rollouts.Conditions
) -> list[base.Figure]:
    ours, naive = [
        await virtual.run(_run(kind, conditions))
        for kind in (rollouts.Scene, rollouts.NaiveScene)
    ]
    figures = _describe(f'{label}, baseline', naive)
    figures += _describe(f'{label}, collector', ours)
    lowest = _find_percentile(_list_staleness(naive), 0.99)
    over = [row for row in ours.trainer.faults if ' at ' in row]
    wasted = ours.figures.wasted[statistics.Waste.SECOND_ATTEMPT]
    useful = max(1, ours.figures.useful_tokens)
    return [
        *figures,
        base.Figure(
            f"{label}: idle share over the baseline's",
            _find_idle(ours) / max(_LEAST_IDLE, _find_idle(naive)),
            '',
            _IDLE_TARGET,
        ),
        base.Figure(
            f"{label}: p99 staleness less the baseline's",
            _find_percentile(_list_staleness(ours), 0.99) - lowest,
            'versions',
            -1.0,
        ),
        base.Figure(f'{label}: samples over the bound', len(over), '', 0.0),
        base.Figure(
            f'{label}: other breaches of the contract',
            len(ours.trainer.faults) - len(over),
            '',
            0.0,
        ),
        base.Figure(
            f'{label}: tokens wasted by second attempts',
            wasted / useful,
            '',
            _WASTE_TARGET,
        ),
    ]


async def _run(kind: type, conditions: rollouts.Conditions):
    found = kind(conditions)
    await found.run()
    return found


def _describe(label: str, found) -> list[base.Figure]:
    staleness = _list_staleness(found)
    bound = found.declaration.staleness_bound
    generated = sum(
        row.generated_tokens for row in found.fleet.engines.values()
    )
    delivered = sum(
        row.sample.text.count(' w') + 1 for row in found.trainer.received
    )
    times = found.trainer.step_waits[1:]
    train = found.conditions.train_time
    swaps = found.swap_times or [0.0]
    rows = [
        ('idle share', _find_idle(found), ''),
        ('step time', train + sum(times) / len(times), 's'),
        ('staleness mean', sum(staleness) / len(staleness), 'versions'),
        ('staleness p50', _find_percentile(staleness, 0.5), 'versions'),
        ('staleness p99', _find_percentile(staleness, 0.99), 'versions'),
        ('staleness max', max(staleness), 'versions'),
        (
            'share over the bound',
            sum(row > bound for row in staleness) / len(staleness),
            '',
        ),
        ('tokens not delivered', 1 - delivered / max(1, generated), ''),
        ('swap of all engines', sum(swaps) / len(swaps), 's'),
        ('least share serving', found.least_serving, ''),
    ]
    return [base.Figure(f'{label}: {name}', *row) for name, *row in rows]


def _find_idle(found) -> float:
    """Returns the idle share; nothing can precede the first step."""
    idle = sum(found.trainer.step_waits[1:])
    trained = found.conditions.train_time * (found.conditions.steps - 1)
    return idle / (idle + trained)


def _list_staleness(found) -> list[int]:
    return sorted(
        row.version - row.sample.oldest for row in found.trainer.received
    )


def _find_percentile(ordered: list[int], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class SamplePlan(base.Measurement):
    """Time and memory of the pure parts at 6 trainers' steps."""

    name = 'sample-plan'
    summary = 'order, ledger and selection for 6 steps of up to 4,096 samples'

    async def run(self, options: base.Options) -> base.Report:
        """Measures each size and the slope for each sample."""
        figures: list[base.Figure] = []
        totals: dict[int, float] = {}
        for size in _PLAN_SAMPLES:
            rng = random.Random(options.seed)
            rows = _plan_trainers(size, rng)
            label = f'6 x {size} samples'
            totals[size] = sum(rows.values())
            figures += [
                base.Figure(f'{label}: {name}', value * _MILLISECONDS, 'ms')
                for name, value in rows.items()
            ]
            figures.append(
                base.Figure(f'{label}: memory', _measure_memory(size), 'MiB')
            )
        low, high = _PLAN_SAMPLES[0], _PLAN_SAMPLES[-1]
        slope = (totals[high] - totals[low]) / (high - low) / _PLAN_TRAINERS
        figures.append(
            base.Figure(
                'slope of a whole step', slope * _MILLISECONDS, 'ms/sample'
            )
        )
        return base.Report(self.name, options, tuple(figures))


def _make_ledgers(size: int) -> list[ledger.Ledger]:
    body = steps.StepBody(
        tuple(
            steps.Group(ids.GroupId(f'g{index}'), 'p', _GROUP_SAMPLES)
            for index in range(size // _GROUP_SAMPLES)
        )
    )
    return [
        ledger.Ledger(steps.Step(ids.StepNumber(number), body))
        for number in range(_PLAN_TRAINERS)
    ]


def _measure_memory(size: int) -> float:
    tracemalloc.start()
    made = _make_ledgers(size)
    for row in made:
        _finish_all(row)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _MIB


def _plan_trainers(size: int, rng: random.Random) -> dict[str, float]:
    start = time.process_time()
    made = _make_ledgers(size)
    put = time.process_time()
    for row in made:
        planner.order_slots(
            planner.OpenSlot(
                row.step.number,
                slot.number,
                row.count_missing(slot),
                rng.random(),
            )
            for slot in row.list_open()
        )
    ordered = time.process_time()
    for row in made:
        _finish_all(row)
    finished = time.process_time()
    for row in made:
        received = bitmap.Bitmap(size)
        for sample in row.select(1, received, size).samples:
            received.add(sample.number)
        row.record_received(received)
    return {
        'put': put - start,
        'one order': ordered - put,
        'attempts': finished - ordered,
        'pull': time.process_time() - finished,
    }


def _finish_all(found: ledger.Ledger) -> None:
    for slot in list(found.list_open()):
        attempt = ledger.Attempt(
            ids.RequestId(f'r{slot.number}'), found.step.number, slot, 0.0
        )
        found.begin(attempt)
        sample = steps.Sample(
            slot.number,
            slot.group.group,
            slot.index,
            (ids.WeightVersion(1),),
            'text',
        )
        found.finish(attempt, sample)
