"""Gateway nodes as processes of their own, with their logs in files."""

import asyncio
import signal
import sys

from tests import ports
from waxwingport.http import client

READY_TIME = 10.0


class NodeProcess:
    """One node; its log goes to a file."""

    def __init__(self, folder, name, store_address):
        self.name = name
        self.log = folder / f'{name}.log'
        self.address = f'127.0.0.1:{ports.find_port()}'
        self.status_address = f'127.0.0.1:{ports.find_port()}'
        self._settings = folder / f'{name}.toml'
        self._settings.write_text(
            f'[node]\nname = "{name}"\ndata_centre = "here"\n'
            f'listen = "{self.address}"\n'
            f'status_listen = "{self.status_address}"\n'
            f'[store]\naddress = "{store_address}"\n'
        )
        self._process = None

    @property
    def running(self):
        process = self._process
        return process is not None and process.returncode is None

    async def start(self, http):
        await self.run_process()
        async with asyncio.timeout(READY_TIME):
            while not await self.is_ready(http):
                await asyncio.sleep(0.05)

    async def run_process(self):
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'waxwingport.gateway',
                '--settings',
                str(self._settings),
                stdout=log,
            )

    async def is_ready(self, http):
        found = await self.fetch_status(http, '/readiness')
        return found.is_ok() and found.ok.status == 200

    async def fetch_status(self, http, path):
        request = client.Request('GET', path, (('Host', 'status'),))
        return await http.fetch(self.status_address, request, 2.0)

    async def kill(self):
        """Ends the process with no warning."""
        if self.send_signal(signal.SIGKILL):
            await self._process.wait()

    async def stop(self):
        """Ends the process as an operator does."""
        if self.send_signal(signal.SIGTERM):
            # One that was paused meanwhile has to run to stop.
            self.send_signal(signal.SIGCONT)
            await self._process.wait()

    def send_signal(self, number):
        """Returns whether our process was there to get the signal."""
        if not self.running:
            return False
        self._process.send_signal(number)
        return True
