"""Connects a node to the external systems that its settings name."""

from waxwingport.http import client
from waxwingport import node
from waxwingport.outside import adapters as platform_adapters
from waxwingport import settings
from waxwingport.targets import adapters

__all__ = ['connect_external_systems']


def connect_external_systems(
    configured: settings.Settings, http: client.HttpClient
) -> node.ExternalSystems:
    """Returns HTTP adapters for all external systems of a node.

    They share ``http``, which the caller closes.
    """
    platform = configured.platform
    return node.ExternalSystems(
        log=platform_adapters.HttpLog(http, platform.log, platform.token),
        vm_list=platform_adapters.HttpVmList(
            http, platform.vm_list, platform.token
        ),
        weight_store=platform_adapters.HttpWeightStore(
            http, platform.weight_store, platform.token
        ),
        targets=adapters.HttpTargetFactory(http),
    )
