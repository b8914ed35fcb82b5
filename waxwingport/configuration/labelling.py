"""Labels of targets by the declared rules."""

from collections.abc import Iterable

from waxwingport.configuration import declarations
from waxwingport.configuration import selectors
from waxwingport.outside import base

__all__ = ['label']


def label(
    vm: base.Vm, rules: Iterable[declarations.LabelRule]
) -> dict[str, str]:
    """Returns the labels of a VM: its fixed ones and those that rules set.

    Rules apply in order and see what earlier ones set.
    """
    labels = dict(vm.labels)
    labels['kind'] = vm.kind.value
    labels['data_centre'] = vm.data_centre
    for rule in rules:
        parsed = selectors.parse(rule.match).default_value(None)
        if parsed is not None and parsed.matches(labels):
            labels.update(rule.set)
    return labels
