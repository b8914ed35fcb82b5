"""Texts of items whose engine is killed while it sends them."""

import pytest

from tests.gateway import standin_engine
from tests.gateway import test_node

deployment = test_node.deployment


@pytest.mark.parametrize('cut', [1, 3, standin_engine.EVENTS])
async def test_a_part_of_a_text_is_listed_as_completed(deployment, cut):
    # Guards against an end inside an event that counts as that of the text.
    deployment.engine.ends_inside = {'s1-0': cut}
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['output'].split('\n') == [
        f's1-0-{number}' for number in range(1, standin_engine.EVENTS + 1)
    ]
    runs = [run for run in deployment.engine.runs if run[0] == 's1-0']
    assert runs == [('s1-0', 0), ('s1-0', cut - 1)]


async def test_a_whole_text_without_a_length_runs_again(deployment):
    # Guards against an end after the last event that counts as a cut.
    deployment.engine.ends_inside = {'s1-0': 0}
    served = await deployment.start_node()
    assert (await deployment.submit(served, 1)).status == 202
    (result,) = await deployment.read_all(served, 1)
    assert result['output'].count('\n') == standin_engine.EVENTS - 1
    assert deployment.engine.runs.count(('s1-0', 0)) == 1
