"""Assigns data centres without live nodes to other data centres."""

from collections.abc import Iterable

from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import rendezvous

__all__ = ['find_responsible_data_centre', 'list_managed_data_centres']


def find_responsible_data_centre(
    data_centre: ids.DataCentre, live: Iterable[base.Member]
) -> ids.DataCentre | None:
    """Returns the data centre whose nodes control the engines of another.

    That is ``data_centre`` itself if it has a live node, else one with live
    nodes, chosen by rendezvous hashing; ``None`` if there is none.
    """
    data_centres = {member.data_centre for member in live}
    if data_centre in data_centres:
        return data_centre
    return rendezvous.pick(f'guardian/{data_centre}', sorted(data_centres))


def list_managed_data_centres(
    own: ids.DataCentre,
    data_centres: Iterable[ids.DataCentre],
    live: Iterable[base.Member],
) -> list[ids.DataCentre]:
    """Returns ``own`` and the data centres that it is responsible for."""
    members = list(live)
    others = sorted(set(data_centres) - {own})
    managed = [
        other
        for other in others
        if find_responsible_data_centre(other, members) == own
    ]
    return [own, *managed]
