"""A stand-in engine in a process of its own, whose answers have no length.

``python3 review/lib/engine.py NAME PORT RUNS`` serves texts and scores.  An
answer ends with its connection, as the pages allow.  The file RUNS gets a line
for each run (``run``, the id of the request and the event after which it goes
on) and two for each event: when its first bytes are sent (``begin``) and when
all are (``end``).
"""

import asyncio
import json
import pathlib
import sys
import time

EVENTS = 12
PAUSE_S = 0.2
FIRST_TOKEN = 'id:'  # noqa: S105


class Engine:
    """Generates texts of ``EVENTS`` events, in tokens as they are made."""

    def __init__(self, name, runs):
        self._name = name
        self._runs = runs
        self._born = int(1000 * time.time())

    async def serve(self, reader, writer):
        """Answers the request of one connection."""
        try:
            await self._answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request, *lines = head.strip().split('\r\n')
        method, path, _ = request.split()
        fields = {}
        for line in lines:
            name, _, value = line.partition(':')
            fields[name.lower()] = value.strip()
        await reader.readexactly(int(fields.get('content-length', 0)))
        name = fields.get('request-id', '')
        if fields.get('expect-instance', self._name) != self._name:
            self._write_head(writer, '421 Misdirected Request', name)
        elif path == '/report':
            self._write_head(writer, '200 OK', name)
            writer.write(json.dumps(self._make_report()).encode())
        elif path.startswith('/score/'):
            self._record('run', name, 0)
            self._write_head(writer, '200 OK', name)
            writer.write(b'scored')
        else:
            await self._generate(writer, name, fields)
        await writer.drain()

    def _make_report(self):
        return {
            'stage': 'hybrid',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': 0,
            'waiting': 0,
            'running': 0,
            'born': self._born,
        }

    def _write_head(self, writer, status, name):
        lines = [
            f'HTTP/1.1 {status}',
            f'Request-Id: {name}',
            f'Response-Signature: signed-{name}',
            'Weight-Versions: 1',
            'Connection: close',
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())

    def _record(self, what, name, number):
        with self._runs.open('a') as file:
            file.write(f'{what} {name} {number}\n')

    async def _generate(self, writer, name, fields):
        start = int(fields.get('last-event-id', 0))
        self._record('run', name, start)
        self._write_head(writer, '200 OK', name)
        for number in range(start + 1, EVENTS + 1):
            # The tokens of an event are sent as they are made.
            tokens = f'id: {number}\ndata: {name}-{number} one two three'
            for token in tokens.split(' '):
                writer.write(token.encode() + b' ')
                await writer.drain()
                if token == FIRST_TOKEN:
                    self._record('begin', name, number)
                await asyncio.sleep(PAUSE_S / 6)
            self._record('end', name, number)
            writer.write(b'four\n\n')
            await writer.drain()
            await asyncio.sleep(PAUSE_S / 6)


def find_cut_events(runs):
    """Returns the event of each request that an engine began and not ended.

    ``runs`` is the content of its file.
    """
    begun = {}
    for line in runs.splitlines():
        what, name, number = line.split()
        if what == 'begin':
            begun[name] = int(number)
        elif what == 'end':
            del begun[name]
    return begun


def make_output(name):
    """Returns the whole output of an item."""
    return '\n'.join(
        f'{name}-{number} one two three four'
        for number in range(1, EVENTS + 1)
    )


def make_entry(name, port, born, seq):
    """Returns the entry of an engine in the platform's store."""
    return {
        'service': 'llm',
        'address': f'127.0.0.1:{port}',
        'zone': 'here',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'models': [{'name': 'm', 'version': 1}],
        'born': born,
        'seq': seq,
    }


async def _serve(name, port, runs):
    engine = Engine(name, pathlib.Path(runs))
    server = await asyncio.start_server(engine.serve, '127.0.0.1', int(port))
    print(engine._born, flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_serve(*sys.argv[1:4]))
