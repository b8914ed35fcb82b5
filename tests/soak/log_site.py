"""The log and the links of the nodes to it, in a process of its own.

What the callers and engines of a run do can't hold it up.  The process takes
commands as lines of JSON and answers those that ask for something.
"""

import asyncio
import base64
import json
import sys

from tests.soak import proxy
from waxwingport.log import base
from waxwingport.platform import standin
from waxwingport.standins import partitions

LAG_CHECK_INTERVAL_S = 0.05
_MAX_LINE_BYTES = 1 << 20


class _Served:
    """The log and the links, in their process."""

    def __init__(self):
        self._log = partitions.MemoryLog()
        self._store = standin.StoreStandin(self._log)
        self._links = []
        self._longest_lag = 0.0

    async def run(self, reader, writer):
        """Carries out commands until the input ends."""
        watch = asyncio.ensure_future(self._watch_lag())
        while line := await reader.readline():
            name, *arguments = json.loads(line)
            answer = await getattr(self, name)(*arguments)
            if answer is not None:
                writer.write(json.dumps(answer).encode() + b'\n')
        watch.cancel()
        for link in self._links:
            await link.stop()
        await self._store.stop()

    async def _watch_lag(self):
        loop = asyncio.get_running_loop()
        while True:
            slept_at = loop.time()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            lag = loop.time() - slept_at - LAG_CHECK_INTERVAL_S
            self._longest_lag = max(self._longest_lag, lag)

    async def add_link(self):
        """Returns the address of a further link."""
        link = proxy.Proxy(self._store.address)
        await link.start()
        self._links.append(link)
        return link.address

    async def write_keyed(self, topic, key, value):
        self._log.write_keyed(
            base.Topic(topic),
            key,
            None if value is None else base64.b64decode(value),
        )

    async def set_down(self, down):
        self._log.down = down

    async def fail_append(self, failure):
        self._log.failures.append(partitions.LogFailure(failure))

    async def count_failures(self):
        return len(self._log.failures)

    async def execute_late_appends(self):
        self._log.execute_late_appends()

    async def impair(self, number, impairment):
        self._links[number].set_impairment(proxy.Impairment(impairment))

    async def silence_open(self, number):
        self._links[number].silence_open()

    async def reset(self, number):
        self._links[number].reset()

    async def get_longest_lag(self):
        return self._longest_lag


class Link:
    """A node's link to the log, as ``proxy.Proxy`` of another process."""

    def __init__(self, site, number, address):
        self._site = site
        self._number = number
        self.address = address

    def set_impairment(self, impairment):
        self._site.send('impair', self._number, impairment.value)

    def silence_open(self):
        self._site.send('silence_open', self._number)

    def reset(self):
        self._site.send('reset', self._number)

    async def stop(self):
        """Ends with its process."""


class LogSite:
    """Commands the process of the log."""

    def __init__(self):
        self._process = None
        self._asking = asyncio.Lock()
        self._links = 0

    async def start(self):
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.soak.log_site',
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=_MAX_LINE_BYTES,
        )

    def send(self, name, *arguments):
        """Sends a command; those of one process are carried out in order."""
        line = json.dumps([name, *arguments]).encode() + b'\n'
        self._process.stdin.write(line)

    async def ask(self, name):
        """Returns the answer to a command."""
        async with self._asking:
            self.send(name)
            return json.loads(await self._process.stdout.readline())

    async def add_link(self):
        address = await self.ask('add_link')
        link = Link(self, self._links, address)
        self._links += 1
        return link

    def write_keyed(self, topic, key, value=None):
        encoded = None if value is None else base64.b64encode(value).decode()
        self.send('write_keyed', topic, key, encoded)

    def fail_append(self, failure):
        self.send('fail_append', failure.value)

    def set_down(self, down):
        self.send('set_down', down)

    def execute_late_appends(self):
        self.send('execute_late_appends')

    async def stop(self):
        if self._process is not None:
            self._process.stdin.close()
            await self._process.wait()


async def _serve():
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=_MAX_LINE_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    transport, protocol = await loop.connect_write_pipe(
        asyncio.streams.FlowControlMixin, sys.stdout
    )
    writer = asyncio.StreamWriter(transport, protocol, None, loop)
    await _Served().run(reader, writer)


if __name__ == '__main__':
    asyncio.run(_serve())
