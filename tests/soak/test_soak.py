"""A short soak with fixed seeds; ``python -m tests.soak`` plays more."""

import pytest

from tests.soak import world

SECONDS = 6.0


@pytest.mark.parametrize('seed', [1, 2])
async def test_promises_hold_under_faults(tmp_path, seed):
    played, wrong = await world.play(tmp_path, seed, SECONDS)
    assert not wrong, (wrong, played.faults.done)
    assert len(played.accepted) >= 3
    assert played.calls[200] >= 3
