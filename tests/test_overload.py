import pytest

from waxwingport.measure import base
from waxwingport.measure import overload
from waxwingport.measure import traffic
from waxwingport.measure import virtual
from waxwingport.routing import model

SECONDS = 8.0


async def run(factor, nodes=1):
    scenario = overload.Scenario(traffic.AdmissionClient, 0.2, factor, nodes)
    return await virtual.run(
        overload.measure(scenario, base.Options(SECONDS, 3))
    )


@pytest.mark.parametrize('nodes', [1, 4])
async def test_four_times_the_load_keeps_nine_tenths_of_the_answers(nodes):
    at_capacity = (await run(1.0, nodes)).count_useful(until=SECONDS)
    overloaded = await run(4.0, nodes)
    assert overloaded.count_useful(until=SECONDS) >= 0.9 * at_capacity
    live = overloaded.select(model.WorkClass.LIVE)
    in_time = overloaded.count_useful(model.WorkClass.LIVE)
    assert in_time >= 0.99 * len(live)


async def test_a_burst_of_live_calls_at_one_node_is_answered_in_time():
    """Guards against refusing live calls that would be answered in time.

    Refusals come about while live calls are below the capacity and rollouts
    far above it, when a burst of live calls arrives at one node.
    """
    overloaded = await run(4.0, 10)
    live = overloaded.select(model.WorkClass.LIVE)
    in_time = overloaded.count_useful(model.WorkClass.LIVE)
    assert in_time >= 0.99 * len(live)
