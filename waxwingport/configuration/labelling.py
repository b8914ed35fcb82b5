"""Computes the labels of targets from the declared rules."""

from collections.abc import Iterable

from waxwingport.configuration import declarations
from waxwingport.configuration import selectors
from waxwingport.outside import base

__all__ = ['label']


def label(
    vm: base.Vm, rules: Iterable[declarations.LabelRule]
) -> dict[str, str]:
    """Returns the labels of a VM: its own ones and those that rules set.

    ``kind`` and ``data_centre`` are always set.  Rules apply in order; each
    one sees the labels that earlier ones set.  A rule whose selector can't be
    parsed is skipped.
    """
    labels = dict(vm.labels)
    labels['kind'] = vm.kind.value
    labels['data_centre'] = vm.data_centre
    for rule in rules:
        parsed = selectors.parse(rule.match).default_value(None)
        if parsed is not None and parsed.matches(labels):
            labels.update(rule.set)
    return labels
