import os
import pathlib

import hypothesis
import pytest

from tests import lone_node
from tests import raw_target
from waxwingport.trial import deployments
from waxwingport.trial import local_deployment

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=100
)
hypothesis.settings.register_profile('dev', deadline=None, max_examples=100)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red():
    """Returns the node ids that KNOWN-RED.txt lists as ``test: ID``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def pytest_collection_modifyitems(items):
    """Expects the known red tests to fail, and no others."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    """Prints the known red tests."""
    for nodeid in sorted(read_known_red()):
        terminalreporter.write_line(f'known red: {nodeid}')


@pytest.fixture(params=sorted(deployments.DEPLOYMENTS))
async def running_stage(request):
    """Serves a whole deployment on loopback."""
    found = local_deployment.LocalDeployment(
        deployments.DEPLOYMENTS[request.param]
    )
    await found.start()
    yield found
    await found.stop()


@pytest.fixture
async def make_node():
    """Returns a function that starts a node without targets."""
    made = []

    def make(**settings):
        made.append(lone_node.LoneNode(**settings))
        return made[-1]

    yield make
    for found in made:
        await found.stop()


@pytest.fixture
async def make_raw_target():
    """Returns a function that starts a raw target with a fault."""
    made = []

    async def make(fault=raw_target.Fault.NONE, **options):
        made.append(raw_target.RawTarget(fault, **options))
        return await made[-1].start()

    yield make
    for found in made:
        await found.stop()
