"""Measurements of sample collection, most against a baseline."""

import random
import time
import tracemalloc

from waxwingport import ids
from waxwingport.measure import base
from waxwingport.measure import rollouts
from waxwingport.measure import virtual
from waxwingport.samples import bitmap
from waxwingport.samples import planner
from waxwingport.samples import progress
from waxwingport.samples import statistics
from waxwingport.samples import steps
from waxwingport.trial import deployments

__all__ = ['SampleFaults', 'SamplePlan', 'Samples']

_STEPS_PER_SECOND = 0.4
_MIN_STEPS = 4
_IDLE_RATIO_TARGET = 0.5
"""Longest idle time as a share of the baseline's."""
_MIN_IDLE_SHARE = 0.001
"""Lower limit of the baseline's idle share, to avoid division by zero."""
_WASTE_TARGET = 0.05
_PLAN_TRAINERS = 6
_PLAN_SAMPLE_COUNTS = (512, 1024, 2048, 4096)
_GROUP_SAMPLES = 16
_MS_PER_SECOND = 1000
_MIB = 1024 * 1024

_PLAIN_VARIANTS = {
    'plain': {},
    'stragglers': {'spread': 0.7, 'slow_engine': 2.0},
}
_FAULT_VARIANTS = {
    'crashes': {'crashes': True},
    'log down': {'log_down': True},
    'cut off': {'cut_off': True},
}


class Samples(base.Measurement):
    """Idle time and staleness of each deployment, also with stragglers."""

    name = 'samples'
    summary = (
        'trainer idle time, staleness, waste and swaps against first come '
        'first served (virtual time)'
    )
    variants = _PLAIN_VARIANTS

    async def run(self, options: base.Options) -> base.Report:
        """Measures every deployment under every variant."""
        figures: list[base.Figure] = []
        for name, deployment in deployments.DEPLOYMENTS.items():
            for variant, changes in self.variants.items():
                conditions = rollouts.Conditions(
                    deployment=deployment,
                    steps=max(
                        _MIN_STEPS,
                        round(options.seconds * _STEPS_PER_SECOND),
                    ),
                    seed=options.seed,
                    **changes,
                )
                figures += await _compare_runs(f'{name} {variant}', conditions)
        return base.Report(self.name, options, tuple(figures))


class SampleFaults(Samples):
    """Idle time and staleness with crashes, log outage and partition."""

    name = 'sample-faults'
    summary = (
        'the same with an engine crashing each minute, the log down, a data '
        'centre cut off (virtual time)'
    )
    variants = _FAULT_VARIANTS


async def _compare_runs(
    label: str, conditions: rollouts.Conditions
) -> list[base.Figure]:
    collector_run, baseline_run = [
        await virtual.run(_run(run_class, conditions))
        for run_class in (rollouts.CollectorRun, rollouts.BaselineRun)
    ]
    figures = _make_run_figures(f'{label}, baseline', baseline_run)
    figures += _make_run_figures(f'{label}, collector', collector_run)
    baseline_staleness = _compute_percentile(
        _list_staleness(baseline_run), 0.99
    )
    bound_faults = [
        fault for fault in collector_run.trainer.faults if ' at ' in fault
    ]
    wasted = collector_run.statistics.wasted[statistics.Waste.SECOND_ATTEMPT]
    useful = max(1, collector_run.statistics.useful_tokens)
    return [
        *figures,
        base.Figure(
            f"{label}: idle share over the baseline's",
            _compute_idle_share(collector_run)
            / max(_MIN_IDLE_SHARE, _compute_idle_share(baseline_run)),
            '',
            _IDLE_RATIO_TARGET,
        ),
        base.Figure(
            f"{label}: p99 staleness less the baseline's",
            _compute_percentile(_list_staleness(collector_run), 0.99)
            - baseline_staleness,
            'versions',
            -1.0,
        ),
        base.Figure(
            f'{label}: samples over the bound', len(bound_faults), '', 0.0
        ),
        base.Figure(
            f'{label}: other breaches of the contract',
            len(collector_run.trainer.faults) - len(bound_faults),
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


async def _run(run_class: type, conditions: rollouts.Conditions):
    training_run = run_class(conditions)
    await training_run.run()
    return training_run


def _make_run_figures(label: str, training_run) -> list[base.Figure]:
    staleness = _list_staleness(training_run)
    bound = training_run.declaration.staleness_bound
    generated = sum(
        engine.generated_tokens
        for engine in training_run.fleet.engines.values()
    )
    delivered = sum(
        received.sample.text.count(' w') + 1
        for received in training_run.trainer.received
    )
    idle_times = training_run.trainer.step_waits[1:]
    train_time = training_run.conditions.train_time
    swaps = training_run.swap_times or [0.0]
    values = [
        ('idle share', _compute_idle_share(training_run), ''),
        ('step time', train_time + sum(idle_times) / len(idle_times), 's'),
        ('staleness mean', sum(staleness) / len(staleness), 'versions'),
        ('staleness p50', _compute_percentile(staleness, 0.5), 'versions'),
        ('staleness p99', _compute_percentile(staleness, 0.99), 'versions'),
        ('staleness max', max(staleness), 'versions'),
        (
            'share over the bound',
            sum(item > bound for item in staleness) / len(staleness),
            '',
        ),
        ('tokens not delivered', 1 - delivered / max(1, generated), ''),
        ('swap of all engines', sum(swaps) / len(swaps), 's'),
        ('least share serving', training_run.min_serving_share, ''),
    ]
    return [base.Figure(f'{label}: {name}', *value) for name, *value in values]


def _compute_idle_share(training_run) -> float:
    """Returns the idle share without the first step.

    The trainer always waits for its first step, as no samples exist before.
    """
    idle = sum(training_run.trainer.step_waits[1:])
    trained = training_run.conditions.train_time * (
        training_run.conditions.steps - 1
    )
    return idle / (idle + trained)


def _list_staleness(training_run) -> list[int]:
    return sorted(
        received.version - received.sample.oldest_version
        for received in training_run.trainer.received
    )


def _compute_percentile(ordered: list[int], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class SamplePlan(base.Measurement):
    """Processor time and memory of planning one step of 6 trainers."""

    name = 'sample-plan'
    summary = 'order, ledger and selection for 6 steps of up to 4,096 samples'

    async def run(self, options: base.Options) -> base.Report:
        """Measures each size and the slope per sample."""
        figures: list[base.Figure] = []
        totals: dict[int, float] = {}
        for size in _PLAN_SAMPLE_COUNTS:
            rng = random.Random(options.seed)
            times = _time_plan(size, rng)
            label = f'6 x {size} samples'
            totals[size] = sum(times.values())
            figures += [
                base.Figure(f'{label}: {name}', value * _MS_PER_SECOND, 'ms')
                for name, value in times.items()
            ]
            figures.append(
                base.Figure(f'{label}: memory', _measure_memory(size), 'MiB')
            )
        low, high = _PLAN_SAMPLE_COUNTS[0], _PLAN_SAMPLE_COUNTS[-1]
        slope = (totals[high] - totals[low]) / (high - low) / _PLAN_TRAINERS
        figures.append(
            base.Figure(
                'slope of a whole step', slope * _MS_PER_SECOND, 'ms/sample'
            )
        )
        return base.Report(self.name, options, tuple(figures))


def _make_progress(size: int) -> list[progress.StepProgress]:
    body = steps.StepBody(
        tuple(
            steps.Group(ids.GroupId(f'g{index}'), 'p', _GROUP_SAMPLES)
            for index in range(size // _GROUP_SAMPLES)
        )
    )
    return [
        progress.StepProgress(steps.Step(ids.StepNumber(number), body))
        for number in range(_PLAN_TRAINERS)
    ]


def _measure_memory(size: int) -> float:
    tracemalloc.start()
    progresses = _make_progress(size)
    for step_progress in progresses:
        _finish_all(step_progress)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _MIB


def _time_plan(size: int, rng: random.Random) -> dict[str, float]:
    start = time.process_time()
    progresses = _make_progress(size)
    put_end = time.process_time()
    for step_progress in progresses:
        planner.order_samples(
            planner.OpenSample(
                step_progress.step.number,
                spec.number,
                step_progress.count_missing(spec),
                rng.random(),
            )
            for spec in step_progress.list_open()
        )
    order_end = time.process_time()
    for step_progress in progresses:
        _finish_all(step_progress)
    attempts_end = time.process_time()
    for step_progress in progresses:
        received = bitmap.Bitmap(size)
        for sample in step_progress.select(1, received, size).samples:
            received.add(sample.number)
        step_progress.record_received(received)
    return {
        'put': put_end - start,
        'one order': order_end - put_end,
        'attempts': attempts_end - order_end,
        'pull': time.process_time() - attempts_end,
    }


def _finish_all(step_progress: progress.StepProgress) -> None:
    for spec in list(step_progress.list_open()):
        attempt = progress.Attempt(
            ids.RequestId(f'r{spec.number}'),
            step_progress.step.number,
            spec,
            0.0,
        )
        step_progress.add_attempt(attempt)
        sample = steps.Sample(
            spec.number,
            spec.group.group,
            spec.index,
            (ids.WeightVersion(1),),
            'text',
        )
        step_progress.finish(attempt, sample)
