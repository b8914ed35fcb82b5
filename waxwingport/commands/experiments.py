"""``experiment``: replays load patterns under several policies."""

from collections.abc import Sequence
import pathlib

from expression import Error
from expression import Ok
from expression import Result
from rich import console

from waxwingport.experiment import crashes
from waxwingport.experiment import loads
from waxwingport.experiment import patterns
from waxwingport.experiment import policies
from waxwingport.experiment import queues
from waxwingport.experiment import replay
from waxwingport.experiment import report

__all__ = ['list_experiments', 'run']


def list_experiments() -> list[str]:
    """Returns a line for each pattern and each policy."""
    lines = ['patterns:']
    for name in patterns.list_patterns():
        found = patterns.read_pattern(name).default_with(_raise)
        lines.append(f'  {name:18} {found.description}')
    lines.append('policies:')
    lines += [
        f'  {policy.name:18} {policy.description}'
        for policy in policies.POLICIES
    ]
    return lines


def run(
    names: Sequence[str],
    policy_names: Sequence[str],
    seeds: int,
    plots: pathlib.Path | None,
    output: console.Console,
) -> Result[None, str]:
    """Prints a table of all patterns and policies; writes plots to a folder.

    Shows one line of progress meanwhile.  Fails with a text on the first
    unknown or invalid pattern or policy.
    """
    read = [patterns.read_pattern(name) for name in names]
    found = [policies.find_policy(name) for name in policy_names]
    for outcome in (*read, *found):
        if outcome.is_error():
            return Error(outcome.error)
    chosen = [outcome.ok for outcome in found]
    played = [outcome.ok for outcome in read]
    summaries: list[report.Summary] = []
    with output.status('') as status:
        for pattern in played:
            if pattern.trainers is None:
                continue
            status.update(pattern.name)
            rows = _play_steps(pattern, chosen, seeds)
            if plots is not None:
                written = report.write_plot(
                    rows, plots / f'{pattern.name}.png'
                )
                if written.is_error():
                    return written
            summaries += rows
        pairs = [(pattern, policy) for pattern in played for policy in chosen]
        crash_rows = [
            (
                pattern.name,
                policy.name,
                _sum_crashes(pattern, policy, seeds),
            )
            for pattern, policy in pairs
            if pattern.calls
        ]
        load_rows = [
            (pattern.name, policy.name, _play_loads(pattern, policy, seeds))
            for pattern, policy in pairs
            if pattern.callers
        ]
    if summaries:
        output.print(report.make_table(summaries))
    if crash_rows:
        output.print(report.make_crash_table(crash_rows))
    if load_rows:
        output.print(report.make_load_table(load_rows))
    return Ok(None)


def _play_steps(
    pattern: patterns.Pattern, chosen: Sequence[policies.Policy], seeds: int
) -> list[report.Summary]:
    return [
        report.summarise(
            pattern.name,
            policy.name,
            [replay.replay(pattern, policy, seed) for seed in range(seeds)],
        )
        for policy in chosen
    ]


def _play_loads(
    pattern: patterns.Pattern, policy: policies.Policy, seeds: int
) -> list[loads.LoadOutcome]:
    play = queues.replay if pattern.queued else loads.replay
    return [play(pattern, policy, seed) for seed in range(seeds)]


def _sum_crashes(
    pattern: patterns.Pattern, policy: policies.Policy, seeds: int
) -> crashes.CrashOutcome:
    return report.summarise_crashes(
        [crashes.replay(pattern, policy, seed) for seed in range(seeds)]
    )


def _raise(reason: str) -> patterns.Pattern:
    raise ValueError(reason)
