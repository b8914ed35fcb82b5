"""Stand-in for a model engine of the platform.

It keeps to the users' pages: it runs as many requests as it has slots, takes
one order at a time, drops a request when its connection closes, and after a
crash starts under the id that it had, with the weights that it had before.
"""

import asyncio
import time

import msgspec
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

__all__ = ['EVENTS', 'Engine', 'SLOTS', 'make_output']

SLOTS = 8
LOAD_S = 0.9
"""Time that a change of the weights' version takes."""
EVENT_S = 0.12
"""Time between two events, the longest that trainers allow."""
EVENTS = 24
"""Events of a text, about the mean of the sheet."""
_FIRST_VERSION = 1


class Engine:
    """An engine that generates texts and takes orders.

    ``record`` is called with a line for each order, run and answer.
    """

    def __init__(self, name, service, models, record, port=0):
        self.name = name
        self.service = service
        self.versions = dict.fromkeys(models, _FIRST_VERSION)
        """Loaded version of each model."""
        self.named = dict.fromkeys(models, _FIRST_VERSION)
        """Newest version of each model that its trainer has named."""
        self.up = True
        self.born = _read_wall_clock_ms()
        self.accepted_orders = 0
        self.busy = False
        self.running = {}
        """Request ids at the engine, with the loop time of their start."""
        self.spans = []
        """Request id, start and end of each run."""
        self.orders = []
        """Loop time, holder, fence and status of each order."""
        self.without_length = 0
        """How many of the next texts are sent without a length, so that the
        end of the connection ends them."""
        self.on_order = None
        """Called with the engine when it has accepted an order."""
        self._record = record
        self._streams = set()
        self._tasks = set()
        self._application = web.Application(
            [
                (r'/report', _Report),
                (r'/order', _Order),
                (r'/gen/.*', _Generate),
                (r'/score/.*', _Score),
            ],
            engine=self,
        )
        sockets = netutil.bind_sockets(port, '127.0.0.1')
        self._port = sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{self._port}'
        self._listen(sockets)

    def make_entry(self):
        """Returns what the engine writes about itself to the store."""
        return msgspec.json.encode(
            {
                'service': self.service,
                'address': self.address,
                'zone': 'here',
                'version': 'v1',
                'slots': SLOTS,
                'state': 'ready',
                'cold-left-ms': 0,
                'stage': 'hybrid',
                'models': self.list_models(),
                'seq': self.accepted_orders,
                'born': self.born,
            }
        )

    def list_models(self):
        """Returns the loaded models as the pages write them."""
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    def note(self, text):
        """Writes a line to the record of the case."""
        self._record(f'{self.name} {text}')

    def start_load(self, model, version):
        """Begins to load a version; runs go on under the new one."""
        self.busy = True
        self.accepted_orders += 1
        task = asyncio.get_running_loop().create_task(
            self._load(model, version)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def crash(self, down_time):
        """Ends all connections; starts again under the same id later."""
        self.note('crashes')
        self.up = False
        for task in list(self._tasks):
            task.cancel()
        self._server.stop()
        for stream in list(self._streams):
            stream.close()
        self.running.clear()
        await asyncio.sleep(down_time)
        self._streams.clear()
        self.busy = False
        self.accepted_orders = 0
        self.born = _read_wall_clock_ms()
        self._listen(netutil.bind_sockets(self._port, '127.0.0.1'))
        self.up = True
        self.note(f'starts again with versions {self.versions}')

    async def stop(self):
        """Stops listening and closes every connection."""
        for task in list(self._tasks):
            task.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    def _listen(self, sockets):
        self._server = httpserver.HTTPServer(self._application)
        self._server.add_sockets(sockets)

    async def _load(self, model, version):
        await asyncio.sleep(LOAD_S)
        self.versions[model] = version
        self.busy = False
        self.note(f'has loaded version {version} of {model}')


def make_output(name):
    """Returns the whole output of an item's text."""
    return '\n'.join(f'{name}-{n}' for n in range(1, EVENTS + 1))


class _Handler(web.RequestHandler):
    @property
    def engine(self):
        return self.application.settings['engine']

    def prepare(self):
        self.engine._streams.add(self.request.connection.stream)
        expected = self.request.headers.get('Expect-Instance')
        if expected not in (None, self.engine.name):
            self.set_status(421)
            raise web.Finish

    def set_default_headers(self):
        self.clear_header('Server')
        name = self.request.headers.get('Request-Id')
        if name:
            self.set_header('Request-Id', name)
        self.set_header(
            'Instance-Id', self.application.settings['engine'].name
        )


class _Report(_Handler):
    def get(self):
        engine = self.engine
        self.write(
            {
                'stage': 'hybrid',
                'models': engine.list_models(),
                'busy': engine.busy,
                'seq': engine.accepted_orders,
                'waiting': 0,
                'running': len(engine.running),
                'born': engine.born,
            }
        )


class _Order(_Handler):
    def post(self):
        engine = self.engine
        order = msgspec.json.decode(self.request.body)
        status = self._judge(order)
        now = asyncio.get_running_loop().time()
        engine.orders.append(
            (now, order['holder'], order['fencing-token'], status)
        )
        engine.note(
            f'order version {order["version"]} of {order["model"]} holder '
            f'{order["holder"]} fence {order["fencing-token"]} -> {status}'
        )
        self.set_status(status)
        if status == 202:
            engine.start_load(order['model'], order['version'])
            if engine.on_order is not None:
                engine.on_order(engine)

    def _judge(self, order):
        engine = self.engine
        model = order['model']
        if order['version'] > engine.named.get(model, 0):
            return 400
        expected = order.get('precondition', engine.accepted_orders)
        if engine.busy or expected != engine.accepted_orders:
            return 409
        return 200 if order['version'] <= engine.versions[model] else 202


class _Generate(_Handler):
    async def post(self):
        engine = self.engine
        name = self.request.headers['Request-Id']
        if engine.busy or len(engine.running) >= SLOTS:
            self.set_status(503)
            self.set_header('Not-Executed', '1')
            return
        loop = asyncio.get_running_loop()
        born = engine.born
        started_at = engine.running[name] = loop.time()
        first = int(self.request.headers.get('Last-Event-Id', 0)) + 1
        engine.note(f'runs {name} from event {first}')
        try:
            await self._send_events(name, first)
        except iostream.StreamClosedError:
            engine.note(f'drops {name}')
            raise web.Finish from None
        finally:
            if engine.born == born:
                engine.running.pop(name, None)
            engine.spans.append((name, started_at, loop.time()))
            engine.note(f'{name} ends')

    async def _send_events(self, name, first):
        engine = self.engine
        model = self.request.headers['Model']
        told = engine.versions[model]
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Weight-Versions', str(told))
        self.set_header('Response-Signature', f's.{name}')
        write, stream = self._write_chunk, None
        if engine.without_length:
            engine.without_length -= 1
            engine.note(f'sends {name} without a length')
            stream = await self._begin_without_length()
            write = stream.write
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            mark = ''
            if engine.versions[model] != told:
                told = engine.versions[model]
                mark = f'weight-versions: {told}\n'
            event = f'{mark}id: {number}\ndata: {name}-{number}\n\n'
            await write(event.encode())
        if stream is not None:
            stream.close()
            raise web.Finish

    async def _write_chunk(self, data):
        self.write(data)
        await self.flush()

    async def _begin_without_length(self):
        """Sends the head of an answer that ends with its connection."""
        fields = ''.join(
            f'{name}: {value}\r\n' for name, value in self._headers.get_all()
        )
        stream = self.detach()
        await stream.write(f'HTTP/1.1 200 OK\r\n{fields}\r\n'.encode())
        return stream


class _Score(_Handler):
    async def post(self):
        name = self.request.headers['Request-Id']
        await asyncio.sleep(0.05)
        self.set_header('Response-Signature', f's.{name}')
        self.write(b'scored')


def _read_wall_clock_ms():
    return int(1000 * time.time())
