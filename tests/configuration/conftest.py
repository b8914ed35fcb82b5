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
    """Makes changes with defaults for what a test does not care about."""

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
        pool = declarations.Pool(name, _SELECTOR, weight=weight)
        return self.make({keys.make_key('pools', name): pool}, **changed)

    def remove(self, key, **changed):
        return self.make({key: None}, **changed)


@pytest.fixture
def changes():
    return Changes()


def make_log_records(*found, start=0):
    """Returns log records from changes, snapshots or encoded bodies."""
    return [
        base.LogRecord(
            ids.Offset(start + index),
            item if isinstance(item, bytes) else records.encode(item),
        )
        for index, item in enumerate(found)
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
