import pytest

from waxwingport.http import client
from waxwingport.log import base
from waxwingport import metrics
from waxwingport.platform import standin
from waxwingport.platform import store
from waxwingport.standins import partitions


@pytest.fixture
def memory():
    return partitions.MemoryLog()


@pytest.fixture
def partition():
    return base.Partition(base.Topic('submissions'), 1)


@pytest.fixture
async def served_log(memory):
    """Returns the platform's adapter, connected to a served memory log."""
    served = standin.StoreStandin(memory)
    http = client.HttpClient()
    settings = store.StoreSettings(served.address, timeout=2.0)
    yield store.StoreLog(http, settings, metrics.Metrics())
    http.close()
    await served.stop()


@pytest.fixture(params=['memory', 'platform'])
def log(request, memory):
    """Returns the log, once directly and once through the adapter."""
    if request.param == 'memory':
        return memory
    return request.getfixturevalue('served_log')
