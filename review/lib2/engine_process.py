"""An engine as a process of its own, to be killed by a signal.

SIGUSR1 makes it send its next text without a length.
"""

import asyncio
import json
import os
import signal
import sys

from review.lib2 import engine

__all__ = ['EngineProcess']


class EngineProcess:
    """Starts and kills an engine's process, which keeps id and address."""

    def __init__(self, name, service, models, record):
        self.name = name
        self.versions = dict.fromkeys(models, 1)
        self.named = dict(self.versions)
        self.up = False
        self.texts = 0
        """Texts that have ended at the engine."""
        self.begun_without_length = asyncio.Event()
        self._service = service
        self._record = record
        self._port = 0
        self._entry = b''
        self._process = None
        self._reading = None

    async def start(self):
        """Starts the process and waits until it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'review.lib2.engine_process',
            self.name,
            self._service,
            ','.join(self.versions),
            str(self._port),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        started = json.loads(await self._process.stdout.readline())
        self._port = started['port']
        self._entry = started['entry'].encode()
        self.up = True
        self._reading = asyncio.ensure_future(self._read(self._process))

    def make_entry(self):
        """Returns what the engine writes about itself to the store."""
        return self._entry

    def send_next_without_length(self):
        """Makes the engine send its next text without a length."""
        self._process.send_signal(signal.SIGUSR1)

    async def crash(self, down_time):
        """Kills the process with SIGKILL and starts it again later."""
        self._record(f'{self.name} is killed')
        self.up = False
        self._process.kill()
        await self._process.wait()
        await asyncio.sleep(down_time)
        await self.start()
        self._record(f'{self.name} starts again')

    async def stop(self):
        """Ends the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            self._reading.cancel()

    async def _read(self, process):
        while line := await process.stdout.readline():
            text = line.decode().rstrip('\n')
            self._record(text)
            self.texts += text.endswith(' ends')
            if text.endswith('without a length'):
                self.begun_without_length.set()


async def _serve(name, service, models, port):
    made = engine.Engine(
        name,
        service,
        models.split(','),
        lambda line: print(line, flush=True),
        int(port),
    )
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, setattr, made, 'without_length', 1
    )
    entry = made.make_entry().decode()
    port = made.address.rpartition(':')[2]
    print(json.dumps({'port': int(port), 'entry': entry}), flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(1.0)


if __name__ == '__main__':
    asyncio.run(_serve(*sys.argv[1:]))
