"""Summaries, tables and plots of replays."""

from collections.abc import Sequence
import math
import pathlib
import statistics

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from rich import table

from waxwingport.experiment import crashes
from waxwingport.experiment import loads
from waxwingport.experiment import replay

__all__ = [
    'Summary',
    'make_crash_table',
    'make_load_table',
    'make_table',
    'summarise',
    'summarise_crashes',
    'write_plot',
]

_WORST_SHARE = 0.9
"""Quantile of the step times that is shown beside the mean."""
_RARE_SHARE = 0.99
"""Quantile of the answer times of callers that is shown."""
_PLOT_SIZE_INCHES = (9.0, 4.5)
_BAR_WIDTH = 0.25


class Summary(msgspec.Struct, frozen=True):
    """Figures of one policy on one pattern, over all seeds.

    Times are in seconds.
    """

    pattern: str
    policy: str
    steps: int
    mean: float
    """Mean step time."""
    p90: float
    worst: float
    bound: float
    """Mean of the least times that the steps take."""
    late: int
    mean_wait: float
    """Mean wait of an item for its first run."""
    moves: int
    paid: int
    broken: int
    rejected: int
    unused_events: int


def summarise(
    pattern: str, policy: str, outcomes: Sequence[replay.Outcome]
) -> Summary:
    """Returns the figures of several replays of a pattern by one policy."""
    times = sorted(time for outcome in outcomes for time in outcome.step_times)
    waits = [wait for outcome in outcomes for wait in outcome.waits]
    return Summary(
        pattern,
        policy,
        len(times),
        statistics.mean(times),
        times[math.ceil(_WORST_SHARE * len(times)) - 1],
        times[-1],
        statistics.mean(
            bound for outcome in outcomes for bound in outcome.bounds
        ),
        sum(outcome.late_steps for outcome in outcomes),
        statistics.mean(waits) if waits else 0.0,
        sum(outcome.moves for outcome in outcomes),
        sum(outcome.paid for outcome in outcomes),
        sum(outcome.broken for outcome in outcomes),
        sum(outcome.rejected for outcome in outcomes),
        sum(outcome.unused_events for outcome in outcomes),
    )


def make_table(summaries: Sequence[Summary]) -> table.Table:
    """Returns a table with a row for each pattern and policy."""
    made = table.Table(title='step times in seconds', box=None)
    for name in ('pattern', 'policy'):
        made.add_column(name, no_wrap=True)
    for name in (
        'bound',
        'mean',
        'p90',
        'worst',
        'late',
        'wait',
        'moves',
        'paid',
        'broken',
        'rejected',
        'unused',
    ):
        made.add_column(name, justify='right')
    for row in summaries:
        made.add_row(
            row.pattern,
            row.policy,
            *(
                f'{value:.2f}'
                for value in (row.bound, row.mean, row.p90, row.worst)
            ),
            f'{row.late}/{row.steps}',
            f'{row.mean_wait:.2f}',
            *(
                str(value)
                for value in (
                    row.moves,
                    row.paid,
                    row.broken,
                    row.rejected,
                    row.unused_events,
                )
            ),
        )
    return made


def summarise_crashes(
    outcomes: Sequence[crashes.CrashOutcome],
) -> crashes.CrashOutcome:
    """Returns the sums of several replays."""
    return crashes.CrashOutcome(
        *(
            sum(getattr(outcome, name) for outcome in outcomes)
            for name in crashes.CrashOutcome.__struct_fields__
        )
    )


def make_crash_table(
    rows: Sequence[tuple[str, str, crashes.CrashOutcome]],
) -> table.Table:
    """Returns a table of sums, a row for each pattern and policy."""
    made = table.Table(title='calls at engines that crash', box=None)
    for name in ('pattern', 'policy'):
        made.add_column(name, no_wrap=True)
    for name in ('crashes', 'kills', 'late', 'refused', 'served'):
        made.add_column(name, justify='right')
    for pattern, policy, outcome in rows:
        made.add_row(
            pattern,
            policy,
            str(outcome.crashes),
            str(outcome.kills),
            str(outcome.late_sends),
            str(outcome.refused),
            f'{outcome.served}/{outcome.others}',
        )
    return made


def make_load_table(
    rows: Sequence[tuple[str, str, Sequence[loads.LoadOutcome]]],
) -> table.Table:
    """Returns a table with a row for each pattern, policy and kind of caller.

    Times are in seconds, of the answers in time.
    """
    made = table.Table(title='callers at engines', box=None)
    for name in ('pattern', 'policy', 'kind'):
        made.add_column(name, no_wrap=True)
    for name in ('calls', 'late', 'refused', 'mean', 'p99', 'busiest', 'idle'):
        made.add_column(name, justify='right')
    for pattern, policy, outcomes in rows:
        busiest = statistics.mean(outcome.busiest for outcome in outcomes)
        idle = sum(outcome.idle_refusals for outcome in outcomes)
        for kinds in zip(
            *(outcome.kinds for outcome in outcomes), strict=True
        ):
            kind = loads.merge(kinds)
            made.add_row(
                pattern,
                policy,
                kind.name,
                str(kind.calls),
                str(kind.late),
                str(kind.refused),
                f'{kind.mean:.4f}',
                f'{kind.find_quantile(_RARE_SHARE):.3f}',
                f'{busiest:.2f}',
                str(idle),
            )
    return made


def write_plot(
    summaries: Sequence[Summary], path: pathlib.Path
) -> Result[None, str]:
    """Writes bars of the step times of one pattern by policy, with the bound.

    Fails if matplotlib is not installed or the file can't be written.
    """
    try:
        from matplotlib import figure
    except ImportError:
        return Error("plots need matplotlib: pip install 'waxwingport[plots]'")
    drawn = figure.Figure(figsize=_PLOT_SIZE_INCHES, layout='constrained')
    axes = drawn.add_subplot()
    positions = range(len(summaries))
    for offset, (label, values) in enumerate(
        (
            ('mean', [row.mean for row in summaries]),
            ('p90', [row.p90 for row in summaries]),
            ('worst', [row.worst for row in summaries]),
        )
    ):
        axes.bar(
            [position + (offset - 1) * _BAR_WIDTH for position in positions],
            values,
            _BAR_WIDTH,
            label=label,
        )
    axes.axhline(
        summaries[0].bound, color='black', linestyle='--', label='bound (mean)'
    )
    axes.set_xticks(list(positions), [row.policy for row in summaries])
    axes.set_ylabel('step time, s')
    axes.set_title(summaries[0].pattern)
    axes.legend()
    try:
        drawn.savefig(path)
    except OSError as error:
        return Error(f'{path}: {error.strerror}')
    return Ok(None)
