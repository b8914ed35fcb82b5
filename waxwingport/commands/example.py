"""``example``: writes example declarations and settings of a node."""

import pathlib

from expression import Error
from expression import Ok
from expression import Result
import tomli_w

from waxwingport.trial import deployments

__all__ = ['SETTINGS_FILE', 'write_example']

SETTINGS_FILE = 'settings.toml'
"""Name of the settings file."""


def write_example(
    deployment: deployments.Deployment, folder: pathlib.Path
) -> Result[list[pathlib.Path], str]:
    """Writes the files and returns their paths.

    Fails if one of them exists already, or cannot be written.
    """
    contents = {
        folder / path.name: path.read_text('utf-8')
        for path in deployments.find_examples(deployment).iterdir()
        if path.name.endswith('.toml')
    }
    contents[folder / SETTINGS_FILE] = tomli_w.dumps(
        _make_settings(deployment)
    )
    existing = [str(path) for path in contents if path.exists()]
    if existing:
        return Error(f'exists already: {", ".join(sorted(existing))}')
    try:
        for path, text in contents.items():
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, 'utf-8')
    except OSError as error:
        return Error(f'{error.filename}: {error.strerror}')
    return Ok(sorted(contents))


def _make_settings(
    deployment: deployments.Deployment,
) -> dict[str, dict[str, object]]:
    data_centre = deployment.data_centres[0]
    return {
        'node': {
            'name': f'{data_centre}-1',
            'data_centre': data_centre,
            'listen': '127.0.0.1:8080',
            'peer_listen': '127.0.0.1:8081',
        },
        'platform': {
            'log': '127.0.0.1:9001',
            'vm_list': '127.0.0.1:9002',
            'weight_store': '127.0.0.1:9003',
        },
    }
