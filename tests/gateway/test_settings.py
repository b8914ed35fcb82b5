import json
import pathlib
import re
import tomllib

import pytest

from waxwingport.gateway import settings

TEMPLATE = (
    pathlib.Path(__file__).parents[2] / 'deploy' / 'gateway.toml'
).read_text()
PLATFORM_VALUES = {
    'node': 'edge-1',
    'ip': '127.0.0.1',
    'zone': 'here',
    'listen': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
    'limits': {'cpu-share': 0.516, 'cores': 1},
    'bounds': {'grace-s': 8, 'status-s': 120, 'lease-ms': 3000},
    'platform': {
        'address': '127.0.0.1:3',
        'record-bytes': 262144,
        'call-bytes': 2097152,
        'retention-s': 300,
        'parts': 12,
    },
}


def render(template):
    """Replaces the template's placeholders as the platform does."""

    def fill(match):
        value = PLATFORM_VALUES
        for name in match[1].split('.'):
            value = value[name]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r'\{\{([a-z.-]+)(\|json)?\}\}', fill, template)


@pytest.fixture
def write_settings(tmp_path):
    """Returns a function that writes a settings file."""

    def write(text):
        path = tmp_path / 'settings.toml'
        path.write_text(text)
        return path

    return write


def test_the_template_makes_valid_settings(write_settings):
    found = settings.read_settings(write_settings(render(TEMPLATE))).ok
    assert found.node.name == 'edge-1'
    assert found.node.shutdown_timeout == 8
    assert found.node.cpu_share * found.node.cpu_speed == 0.516
    assert found.rollout.turn_time == 3.0
    assert found.store.call_size == 2097152


@pytest.mark.parametrize(
    ('before', 'after', 'message'),
    [
        ('name = ', 'nmae = ', "did you mean 'name'"),
        ('"edge-1"', '3', 'node.name'),
        ('retention = 300', 'retention = "long"', 'store.retention'),
        ('[store]', '[shop]', 'store'),
        ('[node]', '[node', ''),
    ],
)
def test_each_fault_is_named(write_settings, before, after, message):
    text = render(TEMPLATE).replace(before, after)
    fault = settings.read_settings(write_settings(text)).error
    assert message in fault


def test_a_missing_file_is_a_fault(tmp_path):
    assert settings.read_settings(tmp_path / 'none.toml').is_error()


def test_the_template_is_toml_once_filled_in():
    assert tomllib.loads(render(TEMPLATE))['node']['data_centre'] == 'here'
