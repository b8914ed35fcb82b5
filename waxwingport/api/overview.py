"""What holds at a node, as status and metrics show it."""

import collections
from collections.abc import Mapping

from waxwingport.api import callers
from waxwingport.configuration import declarations
from waxwingport.membership import base as membership
from waxwingport import node
from waxwingport.routing import candidates
from waxwingport.targets import table

__all__ = ['describe', 'restrict', 'update_gauges']


def describe(shown: node.Node) -> dict[str, object]:
    """Returns what holds at a node, for ``GET /v1/status``."""
    declared = shown.configuration.declarations
    return {
        'node': shown.settings.node.name,
        'revision': shown.configuration.revision,
        'configuration': shown.distribution.describe(),
        'pools': [{'name': row.name} for row in declared.pools],
        'services': [{'name': row.name} for row in declared.services],
        'trainers': [
            _describe_trainer(shown, row) for row in declared.trainers
        ],
        'targets': [_describe_target(row) for row in shown.targets],
        'nodes': [
            _describe_member(shown, row)
            for row in shown.membership.list_members()
        ],
        'leases': shown.leases.describe(),
        'refusals': [
            {'reason': reason.value, 'ran': ran.value, 'count': count}
            for (reason, ran), count in shown.refusals.items()
        ],
    }


def restrict(
    shown: Mapping[str, object], caller: declarations.Caller
) -> dict[str, object]:
    """Returns the part of a status that ``caller`` may see."""
    kept = {name: shown[name] for name in ('node', 'revision')}
    for name in ('pools', 'services', 'trainers'):
        kept[name] = [
            row
            for row in shown[name]
            if callers.check_allowed(caller, row['name']) is None
        ]
    hidden = ('targets', 'nodes', 'leases', 'refusals')
    return {**kept, **{name: [] for name in hidden}}


def update_gauges(shown: node.Node) -> None:
    """Sets the gauges that are read off a node's state."""
    shown.metrics.set(
        'waxwingport_configuration_revision',
        'Offset of the last configuration record in force',
        shown.configuration.revision,
    )
    found = shown.distribution.describe()
    for state in ('reads_log', 'hears_reader', 'log_behind'):
        shown.metrics.set(
            'waxwingport_configuration_state',
            'How the configuration reaches this node; 1 where it holds',
            int(bool(found[state])),
            state=state,
        )
    shown.metrics.set(
        'waxwingport_configuration_skipped',
        'Whether a record of a later version was skipped',
        int(found['skipped_since'] is not None),
    )
    shown.metrics.set(
        'waxwingport_configuration_diverged_peers',
        'Peers that hold other records at the same revision',
        len(found['diverged']),
    )
    targets = collections.Counter(row.state for row in shown.targets)
    for target_state in candidates.TargetState:
        shown.metrics.set(
            'waxwingport_targets',
            'Targets by state',
            targets[target_state],
            state=target_state.value,
        )
    nodes = collections.Counter(
        row.state for row in shown.membership.list_members()
    )
    for member_state in membership.MemberState:
        shown.metrics.set(
            'waxwingport_nodes',
            'Nodes by state',
            nodes[member_state],
            state=member_state.value,
        )


def _describe_trainer(
    shown: node.Node, declared: declarations.Trainer
) -> dict[str, object]:
    latest = shown.versions.find_latest(declared.name)
    found = shown.collectors.find_existing(declared.name)
    return {
        'name': declared.name,
        'staleness_bound': declared.staleness_bound,
        'version': latest.version if latest else 1,
        **(found.describe() if found else {}),
    }


def _describe_target(target: table.Target) -> dict[str, object]:
    found = target.engine_state
    return {
        'name': target.name,
        'data_centre': target.vm.data_centre,
        'state': target.state.value,
        'weight_version': found.weight_version if found else None,
        'in_progress': target.in_progress,
        'labels': target.labels,
    }


def _describe_member(
    shown: node.Node, member: membership.Member
) -> dict[str, object]:
    return {
        'name': member.name,
        'data_centre': member.data_centre,
        'state': member.state.value,
        'revision': shown.membership.find_hint(member.name, 'configuration'),
    }
