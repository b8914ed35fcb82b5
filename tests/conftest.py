import os

import hypothesis
import pytest

from waxwingport.trial import deployments
from waxwingport.trial import stage

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100
)
hypothesis.settings.register_profile('dev', deadline=None, max_examples=100)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


@pytest.fixture(params=sorted(deployments.DEPLOYMENTS))
async def running_stage(request):
    """Serves a whole deployment on loopback."""
    found = stage.Stage(deployments.DEPLOYMENTS[request.param])
    await found.start()
    yield found
    await found.stop()
