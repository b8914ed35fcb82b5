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
    """Returns the test ids in the lines ``test: ID`` of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def pytest_collection_modifyitems(items):
    """Marks the tests that KNOWN-RED.txt lists as expected failures."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    """Prints the tests that KNOWN-RED.txt lists."""
    for nodeid in sorted(read_known_red()):
        terminalreporter.write_line(f'known red: {nodeid}')


@pytest.fixture(params=sorted(deployments.DEPLOYMENTS))
async def running_deployment(request):
    """Runs a whole deployment on loopback."""
    running = local_deployment.LocalDeployment(
        deployments.DEPLOYMENTS[request.param]
    )
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def make_node():
    """Returns a function that starts a ``LoneNode`` without targets."""
    started = []

    def make(**settings):
        started.append(lone_node.LoneNode(**settings))
        return started[-1]

    yield make
    for lone in started:
        await lone.stop()


@pytest.fixture
async def make_raw_target():
    """Returns a function that starts a ``RawTarget`` with a fault."""
    started = []

    async def make(fault=raw_target.Fault.NONE, **options):
        started.append(raw_target.RawTarget(fault, **options))
        return await started[-1].start()

    yield make
    for target in started:
        await target.stop()
