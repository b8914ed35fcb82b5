from hypothesis import given
from hypothesis import strategies as st

from waxwingport.membership import base
from waxwingport.membership import failover

DATA_CENTRES = ['augsburg', 'muenchen', 'nuernberg', 'regensburg']


def make_member(data_centre):
    return base.Member(f'{data_centre}-1', data_centre, 'a:1', 1)


@given(st.sets(st.sampled_from(DATA_CENTRES), min_size=1))
def test_each_data_centre_is_managed_by_one_with_live_nodes(live):
    members = [make_member(data_centre) for data_centre in live]
    managed = {
        own: failover.list_managed_data_centres(own, DATA_CENTRES, members)
        for own in live
    }
    assert sorted(sum(managed.values(), [])) == DATA_CENTRES
    for own, found in managed.items():
        assert found[0] == own


def test_no_data_centre_is_responsible_without_live_nodes():
    assert failover.find_responsible_data_centre('muenchen', []) is None
