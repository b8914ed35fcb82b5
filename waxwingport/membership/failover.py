"""Which data centre looks after the engines of one without live nodes."""

from collections.abc import Iterable

from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import rendezvous

__all__ = ['find_responsible_data_centre', 'list_managed_data_centres']


def find_responsible_data_centre(
    centre: ids.DataCentre, live: Iterable[base.Member]
) -> ids.DataCentre | None:
    """Returns ``centre`` itself if a node lives there, else another one.

    Rendezvous hashing picks it among the data centres with live nodes;
    ``None`` without any.
    """
    centres = {member.data_centre for member in live}
    if centre in centres:
        return centre
    return rendezvous.pick(f'guardian/{centre}', sorted(centres))


def list_managed_data_centres(
    own: ids.DataCentre,
    centres: Iterable[ids.DataCentre],
    live: Iterable[base.Member],
) -> list[ids.DataCentre]:
    """Returns the data centres that ``own`` looks after, itself first."""
    members = list(live)
    others = sorted(set(centres) - {own})
    guarded = [
        row
        for row in others
        if find_responsible_data_centre(row, members) == own
    ]
    return [own, *guarded]
