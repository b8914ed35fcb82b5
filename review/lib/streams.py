"""Consumers of streams, which take them up again after they broke."""

import asyncio

from review.lib import deployment

DEADLINE_S = 12.0
RETRY_DELAY_S = 0.1


class StreamConsumer:
    """Reads one stream to its end, in several tries if need be.

    ``events`` has the number and the data of each event that it got, ``ended``
    tells whether the last answer ended in order.
    """

    def __init__(self, site, name, node):
        self._site = site
        self.name = name
        self._node = node
        self.events = []
        self.ended = False
        self.tries = 0
        self._first_id = None

    async def run(self):
        """Reads until an answer has ended in order or time is up."""
        try:
            async with asyncio.timeout(DEADLINE_S):
                while True:
                    await self._try_once()
                    if self.ended:
                        break
                    await asyncio.sleep(RETRY_DELAY_S)
        except TimeoutError:
            pass
        self._site.record(
            f'{self.name}: {self.tries} tries, ended {self.ended}, '
            f'events {self.events}'
        )

    async def _try_once(self):
        self.tries += 1
        request_id = f'{self.name}-{self.tries}'
        headers = {
            'Host': deployment.HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '12000',
            'Model': 'm',
        }
        if self.events:
            headers['Last-Event-Id'] = str(self.events[-1][0])
            headers['Resumes'] = self._first_id
        host, _, port = self._node.address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            body = self.name.encode()
            writer.write(
                deployment.encode_request('POST', '/stream/x', headers, body)
            )
            status, fields = await deployment.read_head(reader)
            if status != 200:
                self._site.record(f'{request_id} got status {status}')
                return
            if not self.events:
                self._first_id = request_id
            await self._read_events(reader, fields)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            writer.close()

    async def _read_events(self, reader, fields):
        pending = b''
        chunked = fields.get('transfer-encoding', '') == 'chunked'
        while True:
            if chunked:
                size = int((await reader.readline()).strip() or b'0', 16)
                data = await reader.readexactly(size)
                await reader.readline()
            else:
                data = await reader.read(65536)
            if not data:
                self.ended = True
                return
            *blocks, pending = (pending + data).split(b'\n\n')
            for block in blocks:
                lines = dict(
                    line.split(': ', 1) for line in block.decode().split('\n')
                )
                self.events.append((int(lines['id']), lines['data']))
