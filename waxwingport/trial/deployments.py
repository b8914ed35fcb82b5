"""The deployments that the trial can run, in their production sizes."""

import importlib.resources
from importlib.resources import abc as traversable

import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import keys
from waxwingport.configuration import records
from waxwingport import ids

__all__ = [
    'DEPLOYMENTS',
    'Deployment',
    'find_examples',
    'make_initial_change',
    'read_declarations',
]


class Deployment(msgspec.Struct, frozen=True):
    """Names and sizes of a deployment.

    ``model`` and ``application`` are the labels of the VMs of engines and of
    the plain service.
    """

    name: str
    data_centres: tuple[ids.DataCentre, ...]
    pool: ids.PoolName
    engine_count: int
    model: str
    service: ids.ServiceName
    service_count: int
    application: str
    scoring: ids.ServiceName
    trainer: ids.TrainerName


def _make_data_centres(*names: str) -> tuple[ids.DataCentre, ...]:
    return tuple(ids.DataCentre(name) for name in names)


DEPLOYMENTS = {
    'bavaria': Deployment(
        name='bavaria',
        data_centres=_make_data_centres(
            'muenchen', 'nuernberg', 'augsburg', 'regensburg'
        ),
        pool=ids.PoolName('sprachmodell-dienst'),
        engine_count=5,
        model='sprachmodell',
        service=ids.ServiceName('buchungs-dienst'),
        service_count=4,
        application='buchung',
        scoring=ids.ServiceName('bewertung'),
        trainer=ids.TrainerName('kursabgleich'),
    ),
    'occidente': Deployment(
        name='occidente',
        data_centres=_make_data_centres('xela-a', 'xela-b', 'toto-c'),
        pool=ids.PoolName('redactor'),
        engine_count=5,
        model='redactor',
        service=ids.ServiceName('libro-socios'),
        service_count=4,
        application='libro',
        scoring=ids.ServiceName('evaluacion'),
        trainer=ids.TrainerName('notas-registrales'),
    ),
}


def find_examples(deployment: Deployment) -> traversable.Traversable:
    """Returns the directory of a deployment's example declarations."""
    examples = importlib.resources.files('waxwingport.examples')
    return examples / deployment.name


def read_declarations(deployment: Deployment) -> declarations.Declarations:
    """Returns the example declarations of a deployment."""
    path = find_examples(deployment) / 'declarations.toml'
    return msgspec.toml.decode(
        path.read_bytes(), type=declarations.Declarations
    )


def make_initial_change(deployment: Deployment) -> records.Change:
    """Returns the change that first publishes a deployment's declarations."""
    values = keys.split(read_declarations(deployment))
    record_id = ids.RecordId(f'first-{deployment.name}')
    return records.make_change(record_id, 'trial', ids.Revision(-1), values)
