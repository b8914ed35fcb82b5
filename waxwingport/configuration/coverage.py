"""Finds what a change would leave without any target."""

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
    """Returns who would have no target any more, in readable words.

    A pool or service counts if the change takes its last live target away,
    or if its selector is new.  One that had none before and keeps its
    selector is left out: that is not this change's doing.
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
        (row.name, row.selector): _count(row.selector, labels)
        for row in groups
    }


def _count(selector: str, labels: Sequence[dict[str, str]]) -> int:
    parsed = selectors.parse(selector).default_value(None)
    if parsed is None:
        return 0
    return sum(parsed.matches(row) for row in labels)


def _describe(
    declared: declarations.Declarations, name: str, selector: str
) -> str:
    trainers = [
        row.name
        for row in declared.trainers
        if name in (row.pool, row.scoring)
    ]
    users = [f'trainer {trainer!r}' for trainer in trainers] + ['callers']
    return (
        f'{name!r} ({selector}) selects no live target; without any would '
        f'be: {", ".join(users)}'
    )
