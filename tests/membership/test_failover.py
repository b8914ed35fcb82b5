from hypothesis import given
from hypothesis import strategies as st

from waxwingport.membership import base
from waxwingport.membership import failover

CENTRES = ['augsburg', 'muenchen', 'nuernberg', 'regensburg']


def make_member(centre):
    return base.Member(f'{centre}-1', centre, 'a:1', 1)


@given(st.sets(st.sampled_from(CENTRES), min_size=1))
def test_each_data_centre_has_one_guardian_with_live_nodes(live):
    members = [make_member(centre) for centre in live]
    guarded = {
        own: failover.list_managed_data_centres(own, CENTRES, members)
        for own in live
    }
    assert sorted(sum(guarded.values(), [])) == CENTRES
    for own, rows in guarded.items():
        assert rows[0] == own


def test_no_guardian_without_live_nodes():
    assert failover.find_responsible_data_centre('muenchen', []) is None
