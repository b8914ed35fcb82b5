"""Stand-in for the platform's store: its HTTP interface, data in memory."""

import base64
import struct

from expression import Result
from tornado import httpserver
from tornado import netutil
from tornado import web

from waxwingport import ids
from waxwingport.log import base
from waxwingport.standins import partitions

__all__ = ['StoreStandin']

_STATUSES = {
    base.FaultKind.BUSY: 503,
    base.FaultKind.CONFLICT: 412,
    base.FaultKind.EXPIRED: 410,
    base.FaultKind.FENCED: 409,
    base.FaultKind.INVALID: 400,
    base.FaultKind.SEQUENCE: 409,
}
_REFUSAL_REASONS = {
    base.FaultKind.FENCED: 'fenced',
    base.FaultKind.SEQUENCE: 'seq',
}


class StoreStandin:
    """Serves an in-memory log on loopback; ``address`` is ``ip:port``."""

    def __init__(self, log: partitions.MemoryLog) -> None:
        application = web.Application(
            [
                (r'/log-append', _Append, {'log': log}),
                (r'/log-read', _Read, {'log': log}),
                (r'/log-newest', _Newest, {'log': log}),
            ]
        )
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(0, '127.0.0.1')
        self._server.add_sockets(sockets)
        self.address = f'127.0.0.1:{sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Stops listening and closes every connection."""
        self._server.stop()
        await self._server.close_all_connections()


class _Handler(web.RequestHandler):
    def initialize(self, log: partitions.MemoryLog) -> None:
        self.log = log

    def find_partition(self) -> base.Partition:
        topic = base.Topic(self.get_query_argument('topic'))
        return base.Partition(topic, int(self.get_query_argument('part')))

    def refuse(self, fault: base.Fault) -> None:
        """Answers with the fault's status.

        Closes the connection for a fault without a status, so that the
        client gets no answer.
        """
        status = _STATUSES.get(fault.kind)
        if status is None:
            self.request.connection.detach().close()
            raise web.Finish
        self.set_status(status)
        self.write(
            {
                'why': _REFUSAL_REASONS.get(fault.kind, ''),
                'first': fault.oldest,
            }
        )


class _Append(_Handler):
    async def post(self) -> None:
        writer = None
        name = self.get_query_argument('producer', None)
        if name is not None:
            writer = base.Writer(
                name,
                base.Epoch(int(self.get_query_argument('epoch'))),
                int(self.get_query_argument('seq')),
            )
        at = self.get_query_argument('at', None)
        outcome = await self.log.append(
            self.find_partition(),
            _split(self.request.body),
            writer,
            ids.Offset(int(at)) if at is not None else None,
        )
        match outcome:
            case Result(tag='ok', ok=appended):
                self.write({'offset': appended.offset, 'end': appended.end})
            case Result(error=fault):
                self.refuse(fault)


class _Read(_Handler):
    async def get(self) -> None:
        offset = ids.Offset(int(self.get_query_argument('from')))
        wait = int(self.get_query_argument('wait-ms', '0')) / 1000
        match await self.log.read(self.find_partition(), offset, wait):
            case Result(tag='ok', ok=page):
                self.write(struct.pack('>QQ', page.end, page.oldest))
                for record in page.records:
                    self.write(struct.pack('>I', len(record)) + record)
            case Result(error=fault):
                self.refuse(fault)


class _Newest(_Handler):
    async def get(self) -> None:
        topic = base.Topic(self.get_query_argument('topic'))
        after = self.get_query_argument('after', None)
        match await self.log.read_newest(topic, after):
            case Result(tag='ok', ok=page):
                self.write(
                    {
                        'items': [
                            {
                                'key': record.key,
                                'value': base64.b64encode(
                                    record.value or b''
                                ).decode(),
                                # Only the highest one is known here.
                                'offset': page.covered - 1,
                            }
                            for record in page.records
                        ],
                        'has-more': page.more,
                        'end': page.end,
                    }
                )
            case Result(error=fault):
                self.refuse(fault)


def _split(body: bytes) -> list[bytes]:
    records = []
    while body:
        (size,) = struct.unpack_from('>I', body)
        records.append(body[4 : 4 + size])
        body = body[4 + size :]
    return records
