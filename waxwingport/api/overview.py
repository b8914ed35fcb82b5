"""State of a node, as the status resource and the gauges show it."""

import collections
from collections.abc import Mapping

from waxwingport.api import callers
from waxwingport.configuration import declarations
from waxwingport.membership import base as membership
from waxwingport import node
from waxwingport.routing import model
from waxwingport.targets import table

__all__ = ['describe', 'restrict', 'update_gauges']


def describe(served: node.Node) -> dict[str, object]:
    """Returns the body of ``GET /v1/status``."""
    declared = served.configuration.declarations
    return {
        'node': served.settings.node.name,
        'revision': served.configuration.revision,
        'configuration': served.distribution.describe(),
        'pools': [{'name': entry.name} for entry in declared.pools],
        'services': [{'name': entry.name} for entry in declared.services],
        'trainers': [
            _describe_trainer(served, entry) for entry in declared.trainers
        ],
        'targets': [_describe_target(entry) for entry in served.targets],
        'nodes': [
            _describe_member(served, entry)
            for entry in served.membership.list_members()
        ],
        'leases': served.leases.describe(),
        'refusals': [
            {'reason': reason.value, 'ran': ran.value, 'count': count}
            for (reason, ran), count in served.refusals.items()
        ],
    }


def restrict(
    status: Mapping[str, object], caller: declarations.Caller
) -> dict[str, object]:
    """Returns the part of a status that ``caller`` may read.

    That is the pools, services and trainers that it may use; the other
    lists are empty.
    """
    visible = {name: status[name] for name in ('node', 'revision')}
    for name in ('pools', 'services', 'trainers'):
        visible[name] = [
            entry
            for entry in status[name]
            if callers.check_allowed(caller, entry['name']) is None
        ]
    hidden = ('targets', 'nodes', 'leases', 'refusals')
    return {**visible, **{name: [] for name in hidden}}


def update_gauges(served: node.Node) -> None:
    """Sets the gauges that are computed from the state of a node."""
    served.metrics.set(
        'waxwingport_configuration_revision',
        'Offset of the last configuration record in force',
        served.configuration.revision,
    )
    distribution = served.distribution.describe()
    for state in ('reads_log', 'hears_reader', 'log_behind'):
        served.metrics.set(
            'waxwingport_configuration_state',
            'State of the configuration at this node; 1 if it applies',
            int(bool(distribution[state])),
            state=state,
        )
    served.metrics.set(
        'waxwingport_configuration_skipped',
        'Whether a record of a later version was skipped',
        int(distribution['skipped_since'] is not None),
    )
    served.metrics.set(
        'waxwingport_configuration_diverged_peers',
        'Peers with other records at the same revision',
        len(distribution['diverged']),
    )
    targets = collections.Counter(entry.state for entry in served.targets)
    for target_state in model.TargetState:
        served.metrics.set(
            'waxwingport_targets',
            'Targets by state',
            targets[target_state],
            state=target_state.value,
        )
    nodes = collections.Counter(
        entry.state for entry in served.membership.list_members()
    )
    for member_state in membership.MemberState:
        served.metrics.set(
            'waxwingport_nodes',
            'Nodes by state',
            nodes[member_state],
            state=member_state.value,
        )


def _describe_trainer(
    served: node.Node, declared: declarations.Trainer
) -> dict[str, object]:
    latest = served.versions.find_latest(declared.name)
    collector = served.collectors.find_existing(declared.name)
    return {
        'name': declared.name,
        'staleness_bound': declared.staleness_bound,
        'version': latest.version if latest else 1,
        **(collector.describe() if collector else {}),
    }


def _describe_target(target: table.Target) -> dict[str, object]:
    engine_state = target.engine_state
    return {
        'name': target.name,
        'data_centre': target.vm.data_centre,
        'state': target.state.value,
        'weight_version': engine_state.weight_version
        if engine_state
        else None,
        'in_progress': target.in_progress,
        'labels': target.labels,
    }


def _describe_member(
    served: node.Node, member: membership.Member
) -> dict[str, object]:
    return {
        'name': member.name,
        'data_centre': member.data_centre,
        'state': member.state.value,
        'revision': served.membership.find_hint(member.name, 'configuration'),
    }
