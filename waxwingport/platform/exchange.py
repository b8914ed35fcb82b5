"""Requests, answers and submissions as the platform's pages spell them."""

import base64
import binascii
from collections.abc import Sequence
import re
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport.gateway import dialect
from waxwingport.gateway import routes
from waxwingport.http import headers as http_headers
from waxwingport.http import messages
from waxwingport import ids
from waxwingport.submissions import model

__all__ = ['PlatformDialect']

_REQUEST_ID = 'Request-Id'
_DEADLINE = 'Deadline-Ms'
_EXPECTED_INSTANCE = 'Expect-Instance'
_EXPECTED_VERSION = 'Expect-Weight-Version'
_LAST_EVENT = 'Last-Event-Id'
_PRIORITY = 'Request-Priority'
_LENGTH_HINT = 'length-hint'
_NOT_RUN = 'not-executed'
_SIGNATURE = 'response-signature'
_LOAD = 'server-load'
_VERSION = 'weight-versions'
_WAIT = 'wait-ms'
_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        _DEADLINE,
        _EXPECTED_INSTANCE,
        _EXPECTED_VERSION,
        _PRIORITY,
        'host',
    )
)
"""Set by the system itself; a caller's are not passed on."""

_EVENT_VERSION = re.compile(rb'^weight-versions:[ ]*(\d+)')
_BATCH_PATH = '/lots/'
_ITEM_PATH = '/items/'
_LONGEST_WAIT = 1.0
"""Seconds for which the pages let a read of results wait."""
_RESULTS_SIZE = 1_000_000
"""Bytes of results in one answer, by the pages."""
_MOVED = 421
_REFUSALS = frozenset({400, 429, 503})


class _Reward(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    body: str = ''


class _Item(msgspec.Struct, frozen=True, rename='kebab'):
    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int = 0
    group: str = ''
    scorer_url: _Reward | None = None


class _Batch(msgspec.Struct, frozen=True, rename='kebab'):
    items: list[_Item]
    step: int = 0
    model: str = ''
    min_version: int = 0
    target_groups: int = 0


class _Result(msgspec.Struct, frozen=True):
    id: str
    state: str
    output: str
    versions: Sequence[int]
    score: str | None


class _Results(msgspec.Struct, frozen=True):
    total: int
    next: int
    results: list[_Result]


class PlatformDialect(dialect.Dialect):
    """The platform's spelling."""

    def read_call(
        self, method: str, path: str, headers: dialect.Headers, body: bytes
    ) -> Result[dialect.Call, str]:
        """Returns a caller's request; fails with what is wrong with it."""
        fields = {name.lower(): value for name, value in headers}
        timeout = None
        if _DEADLINE.lower() in fields:
            text = fields[_DEADLINE.lower()]
            if not text.strip().isdecimal():
                return Error(f'{_DEADLINE}: {text!r} is no number')
            timeout = int(text) / 1000
        rows = http_headers.keep_end_to_end(headers)
        return Ok(
            dialect.Call(
                ids.RequestId(fields.get(_REQUEST_ID.lower(), '')),
                method,
                path,
                routes.split_host(fields.get('host', '')),
                tuple(
                    row
                    for row in rows
                    if row[0].lower() not in _SYSTEM_HEADERS
                ),
                body,
                timeout,
            )
        )

    def read_batch_call(
        self, call: dialect.Call, now: float
    ) -> Result[dialect.BatchCall | None, str]:
        """Returns what a call wants of submissions, or ``None``."""
        parts = parse.urlsplit(call.path)
        query = dict(parse.parse_qsl(parts.query))
        if parts.path.startswith(_BATCH_PATH):
            found = model.SubmissionId(parts.path.removeprefix(_BATCH_PATH))
            return _read_batch_access(call, found, query)
        if parts.path.startswith(_ITEM_PATH) and call.method == 'GET':
            found = model.SubmissionId(parts.path.removeprefix(_ITEM_PATH))
            return Ok(
                dialect.ItemRead(found, model.ItemId(query.get('id', '')))
            )
        if call.method == 'POST':
            return _read_submission(call, now)
        return Ok(None)

    def make_request(
        self,
        call: dialect.Call,
        expected: dialect.Expectations,
        fresh: bool,
    ) -> messages.Request:
        """Returns the request for a target."""
        rows = [('Host', call.host), *call.headers]
        rows.append((_EXPECTED_INSTANCE, expected.instance))
        if expected.remaining is not None:
            left = max(1, round(expected.remaining * 1000))
            rows.append((_DEADLINE, str(left)))
        if expected.resume_after is not None:
            rows = [row for row in rows if row[0].lower() != 'last-event-id']
            rows.append((_LAST_EVENT, str(expected.resume_after)))
        if expected.version is not None:
            rows.append((_EXPECTED_VERSION, str(expected.version)))
        if expected.priority is not None:
            rows.append((_PRIORITY, str(expected.priority)))
        return messages.Request(
            call.method, call.path, tuple(rows), call.body, fresh
        )

    def make_item_call(self, item: model.Item, host: str) -> dialect.Call:
        """Returns the request that generates an item."""
        rows = [
            row
            for row in item.headers
            if row[0].lower() not in _SYSTEM_HEADERS
            and row[0].lower() != _REQUEST_ID.lower()
        ]
        rows.append((_REQUEST_ID, item.item_id))
        return dialect.Call(
            ids.RequestId(item.item_id),
            'POST',
            item.path,
            host,
            tuple(rows),
            item.body,
            None,
        )

    def make_reward_call(self, reward: model.RewardCall) -> dialect.Call:
        """Returns the request that scores a text."""
        return dialect.Call(
            reward.request_id,
            'POST',
            reward.path,
            reward.host,
            ((_REQUEST_ID, reward.request_id),),
            reward.body,
            None,
        )

    def read_answer(
        self, status: int, headers: dialect.Headers
    ) -> dialect.AnswerHead:
        """Returns what the head of a target's answer says."""
        fields = {name.lower(): value for name, value in headers}
        load = [
            int(part)
            for part in fields.get(_LOAD, '').split(',')
            if part.strip().isdecimal()
        ]
        version = fields.get(_VERSION, '')
        return dialect.AnswerHead(
            request_id=fields.get(_REQUEST_ID.lower()),
            not_run=status == _MOVED
            or (status in _REFUSALS and _NOT_RUN in fields),
            moved=status == _MOVED,
            signature=fields.get(_SIGNATURE),
            active_requests=sum(load[:2]) if len(load) == 3 else None,
            slots=load[2] if len(load) == 3 else None,
            version=(
                ids.WeightVersion(int(version))
                if version.isdecimal()
                else None
            ),
            retry_after=_read_seconds(fields.get('retry-after')),
        )

    def read_event_version(self, event: bytes) -> ids.WeightVersion | None:
        """Returns the version from which on a stream is generated."""
        found = _EVENT_VERSION.match(event)
        return ids.WeightVersion(int(found[1])) if found else None

    def make_refusal_headers(
        self, request_id: ids.RequestId | None, retry_after: float | None
    ) -> dict[str, str]:
        """Returns the headers of an answer of the system's own."""
        rows = {'Content-Type': 'application/json'}
        if request_id:
            rows[_REQUEST_ID] = request_id
        if retry_after is not None:
            rows['Retry-After'] = f'{retry_after:.3f}'
        return rows

    def encode_results(
        self,
        total: int,
        after: int,
        results: Sequence[model.ItemResult],
    ) -> bytes:
        """Returns results from position ``after`` on, as many as fit."""
        rows: list[_Result] = []
        size = 0
        for result in results:
            output = '\n'.join(result.events)
            size += 2 * len(output) + 200
            if rows and size > _RESULTS_SIZE:
                break
            rows.append(
                _Result(
                    result.item_id,
                    result.state.value,
                    output,
                    result.versions,
                    result.score,
                )
            )
        answer = _Results(total, after + len(rows), rows)
        return msgspec.json.encode(answer)


def _read_seconds(text: str | None) -> float | None:
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None


def _read_batch_access(
    call: dialect.Call,
    submission_id: model.SubmissionId,
    query: dict[str, str],
) -> Result[dialect.BatchCall | None, str]:
    if call.method == 'DELETE':
        return Ok(dialect.EndCall(submission_id))
    if call.method != 'GET':
        return Ok(None)
    after = query.get('after', '0')
    fields = {name.lower(): value for name, value in call.headers}
    wait = fields.get(_WAIT, '0')
    if not after.isdecimal() or not wait.isdecimal():
        return Error('after and the waiting time have to be whole numbers')
    seconds = min(int(wait) / 1000, _LONGEST_WAIT)
    return Ok(dialect.BatchRead(submission_id, int(after), seconds))


def _read_submission(
    call: dialect.Call, now: float
) -> Result[dialect.BatchCall | None, str]:
    try:
        found = msgspec.json.decode(call.body, type=_Batch)
        items = tuple(_read_item(item) for item in found.items)
    except (msgspec.DecodeError, UnicodeError, binascii.Error) as error:
        return Error(f'submission cannot be read: {error}')
    if not call.request_id:
        return Error('submission without an id')
    if not items:
        return Error('submission without items')
    if len({item.item_id for item in items}) < len(items):
        return Error('submission with two items of one id')
    return Ok(
        dialect.SubmitCall(
            model.Submission(
                model.SubmissionId(call.request_id),
                call.host,
                parse.urlsplit(call.path).path,
                found.model,
                found.step,
                ids.WeightVersion(found.min_version),
                found.target_groups,
                items,
                now,
            )
        )
    )


def _read_item(item: _Item) -> model.Item:
    hints = [
        value
        for name, value in item.headers.items()
        if name.lower() == _LENGTH_HINT and value.isdecimal()
    ]
    reward = item.scorer_url
    return model.Item(
        model.ItemId(item.id),
        item.path,
        tuple(item.headers.items()),
        base64.b64decode(item.body, validate=True),
        item.tokens,
        int(hints[0]) if hints else None,
        ids.GroupId(item.group),
        None
        if reward is None
        else model.RewardCall(
            ids.RequestId(reward.id),
            reward.host,
            reward.path,
            base64.b64decode(reward.body, validate=True),
        ),
    )
