"""An admission over in-memory targets, for tests of admission and routing."""

import asyncio
import random

import msgspec

from waxwingport.configuration import declarations
from waxwingport.configuration import state
from waxwingport import ids
from waxwingport.limits import admission
from waxwingport.outside import base as platform
from waxwingport.routing import model
from waxwingport.routing import prefixes
from waxwingport import settings
from waxwingport.standins import engine
from waxwingport.standins import factory
from waxwingport.targets import base
from waxwingport.targets import table

POOL = declarations.Pool(ids.PoolName('pool'), 'kind = engine')
SERVICE = declarations.Service(ids.ServiceName('service'), 'kind = service')
NODE = settings.NodeSettings(
    name=ids.NodeName('node-1'),
    data_centre=ids.DataCentre('muenchen'),
    listen='127.0.0.1:0',
    peer_listen='127.0.0.1:0',
)


class Bench:
    """Targets, declarations and an admission; needs a running event loop."""

    def __init__(self, vms, declared=None, capacity=4, seed=7):
        engine_settings = engine.StandInEngineSettings(capacity=capacity)
        self.factory = factory.StandInTargetFactory(
            lambda name: engine_settings
        )
        self.configuration = state.ConfigurationState()
        self.targets = table.TargetTable(self.factory, NODE)
        self.configuration.listen(
            lambda applied: self.targets.set_label_rules(applied.labels)
        )
        self.gate = admission.Admission(
            self.configuration, self.targets, random.Random(seed)
        )
        self.vms = {vm.name: vm for vm in vms}
        self.declare(
            declared
            or declarations.Declarations(pools=(POOL,), services=(SERVICE,))
        )
        self.list_vms()

    def declare(self, declared):
        revision = ids.Revision(self.configuration.revision + 1)
        self.configuration.apply(revision, declared)

    def list_vms(self, **states):
        for name, vm_state in states.items():
            name = name.replace('_', '-')
            vm = msgspec.structs.replace(self.vms[name], state=vm_state)
            self.vms[name] = vm
        self.targets.update(self.vms.values())

    async def report(self):
        for target in self.targets:
            if target.engine is not None:
                target.record_load((await target.engine.read_load()).ok)
                target.engine_state = (await target.engine.read_state()).ok

    def start(self, work):
        return asyncio.get_running_loop().create_task(self.gate.acquire(work))

    async def grant(self, work):
        outcome = await self.gate.acquire(work)
        assert outcome.is_ok(), outcome
        return outcome.ok


def make_work(number=0, **changes):
    fields = {
        'request_id': ids.RequestId(f'r{number}'),
        'group': 'pool',
        'owner': 'caller',
        'work_class': model.WorkClass.LIVE,
        'deadline': asyncio.get_running_loop().time() + 30.0,
        **changes,
    }
    return model.Work(**fields)


def make_rollout(number=0, **changes):
    return make_work(
        number,
        **{
            'work_class': model.WorkClass.ROLLOUT,
            'owner': 'trainer',
            **changes,
        },
    )


def make_bench(count=1, capacity=4, **changes):
    return Bench(factory.make_vms(count), capacity=capacity, **changes)


def make_generation(name, prompt):
    return base.Generation(ids.RequestId(name), prompt, 64)


def encode(message):
    return msgspec.msgpack.encode(message)


hash_blocks = prefixes.hash_blocks
LEAVING = platform.VmState.LEAVING
