"""Finds pools and services that a change would leave without targets."""

from collections.abc import Iterable
from collections.abc import Sequence

from waxwingport.configuration import declarations
from waxwingport.configuration import labelling
from waxwingport.configuration import selectors
from waxwingport.outside import base

__all__ = ['find_uncovered']


def find_uncovered(
    before: declarations.Declarations,
    after: declarations.Declarations,
    vms: Sequence[base.Vm],
) -> list[str]:
    """Returns a message for each pool or service left without a target.

    A pool or service is reported if the change removes its last live target,
    or if its selector is new and selects none.  One that had no target before
    and keeps its selector is left out, as the change is not the cause.
    """
    old = _count_targets(before, vms)
    new = _count_targets(after, vms)
    return [
        _describe(after, name, selector)
        for (name, selector), count in sorted(new.items())
        if not count and old.get((name, selector)) != 0
    ]


def _count_targets(
    declared: declarations.Declarations, vms: Sequence[base.Vm]
) -> dict[tuple[str, str], int]:
    labels = [
        labelling.label(vm, declared.labels)
        for vm in vms
        if vm.state is base.VmState.LIVE and vm.kind is not base.VmKind.NODE
    ]
    groups: Iterable[declarations.Pool | declarations.Service] = (
        *declared.pools,
        *declared.services,
    )
    return {
        (group.name, group.selector): _count(group.selector, labels)
        for group in groups
    }


def _count(selector: str, labels: Sequence[dict[str, str]]) -> int:
    parsed = selectors.parse(selector).default_value(None)
    if parsed is None:
        return 0
    return sum(parsed.matches(found) for found in labels)


def _describe(
    declared: declarations.Declarations, name: str, selector: str
) -> str:
    trainers = [
        trainer.name
        for trainer in declared.trainers
        if name in (trainer.pool, trainer.scoring)
    ]
    affected = [f'trainer {user!r}' for user in trainers] + ['callers']
    return (
        f'{name!r} ({selector}) selects no live target; this '
        f'affects: {", ".join(affected)}'
    )
