import json

import pytest
from tornado import httpclient

from waxwingport.configuration import declarations
from waxwingport.configuration import keys
from waxwingport.configuration import records
from waxwingport import ids
from waxwingport.outside import base

_SELECTOR = 'kind = engine'


class Changes:
    """Makes changes and rows of the stream, short to write."""

    def __init__(self):
        self._count = 0

    def make(self, values, based_on=-1, record_id=None, author='anna'):
        self._count += 1
        return records.make_change(
            ids.RecordId(record_id or f'r{self._count}'),
            author,
            ids.Revision(based_on),
            values,
        )

    def pool(self, name='p', weight=1.0, **changed):
        row = declarations.Pool(name, _SELECTOR, weight=weight)
        return self.make({keys.make_key('pools', name): row}, **changed)

    def remove(self, key, **changed):
        return self.make({key: None}, **changed)


@pytest.fixture
def changes():
    return Changes()


def make_rows(*found, start=0):
    """Returns records of the stream from changes, snapshots or bytes."""
    return [
        base.LogRecord(
            ids.Offset(start + index),
            row if isinstance(row, bytes) else records.encode(row),
        )
        for index, row in enumerate(found)
    ]


@pytest.fixture
def post():
    """Posts JSON; returns the status and the decoded answer."""

    async def send(url, body):
        response = await httpclient.AsyncHTTPClient().fetch(
            url, method='POST', body=json.dumps(body), raise_error=False
        )
        return response.code, json.loads(response.body)

    return send
