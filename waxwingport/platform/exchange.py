"""The platform's wire format of requests, responses and submissions."""

from collections.abc import Sequence
import re
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import httputil

from waxwingport import decoding
from waxwingport.fleet import model as fleet
from waxwingport.gateway import dialect
from waxwingport.gateway import digests
from waxwingport.gateway import routes
from waxwingport.http import headers as http_headers
from waxwingport.http import messages
from waxwingport import ids
from waxwingport import numerals
from waxwingport.platform import identities
from waxwingport.platform import submissions
from waxwingport.submissions import model
from waxwingport.tenancy import model as tenancy

__all__ = ['PlatformDialect']

_REQUEST_ID_HEADER = 'Request-Id'
_DEADLINE_HEADER = 'Deadline-Ms'
_INSTANCE_HEADER = 'Expect-Instance'
_EXPECTED_VERSION_HEADER = 'Expect-Weight-Version'
_LAST_EVENT_HEADER = 'Last-Event-Id'
_RESUMES_HEADER = 'Resumes'
_PRIORITY_HEADER = 'Request-Priority'
_NOT_RUN_HEADER = 'not-executed'
_SIGNATURE_HEADER = 'response-signature'
_LEAVING_HEADER = 'Server-Leaving'
_LEAVING_VALUE = '1'
_LIMIT_HEADER = 'Server-Limit'
_LOAD_HEADER = 'server-load'
_VERSION_HEADER = 'weight-versions'
_WAIT_HEADER = 'wait-ms'
_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        _DEADLINE_HEADER,
        _INSTANCE_HEADER,
        _EXPECTED_VERSION_HEADER,
        _PRIORITY_HEADER,
        'host',
    )
)
"""Lower-case names of headers that the gateway sets itself; those of callers
are not forwarded."""

_EVENT_VERSION = re.compile(rb'^weight-versions:[ ]*(\d+)')
_BATCH_PREFIX = '/lots/'
_ITEM_PREFIX = '/items/'
_MAX_WAIT_S = 1.0
"""Longest wait for results that the platform's documentation allows."""
_MAX_RESULTS_BYTES = 1_000_000
"""Maximum size of the results in one answer, from the platform's
documentation."""
_MOVED_STATUS = 421
_FIGURES_WITH_SLOWDOWN = 4
"""Figures of a load header that ends with the slowdown of the machine."""
_REFUSAL_STATUSES = frozenset({400, 429, 503})


class _Start(msgspec.Struct, frozen=True):
    born: decoding.WholeNumber | None = None


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
    """Implements the platform's wire format."""

    def read_head(self, headers: dialect.Headers) -> dialect.Head:
        """Returns the parsed head of a caller's request."""
        return _read_head({name.lower(): value for name, value in headers})

    def read_key(self, headers: dialect.Headers) -> Result[str, str]:
        """Returns the API key that a request carries, in visible ASCII.

        Fails with what is wrong, without the key.
        """
        return identities.read_key(headers)

    def read_call(
        self,
        method: str,
        path: str,
        headers: dialect.Headers,
        body: bytes,
        identity: tenancy.Identity | None = None,
    ) -> Result[dialect.Call, str]:
        """Returns a caller's request; fails with what is wrong.

        With an ``identity`` the call has neither the key nor a tenant that
        the caller names, and its digest depends on the tenant.
        """
        fields = {name.lower(): value for name, value in headers}
        head = _read_head(fields)
        timeout = None
        if _DEADLINE_HEADER.lower() in fields:
            text = fields[_DEADLINE_HEADER.lower()]
            milliseconds = numerals.read_whole_number(text)
            if milliseconds is None:
                return Error(
                    f'{_DEADLINE_HEADER}: {text[:40]!r} is not a whole number'
                )
            timeout = milliseconds / 1000
        end_to_end = http_headers.keep_end_to_end(headers)
        caller = identities.name_caller(fields, identity)
        return Ok(
            dialect.Call(
                head.request_id,
                method,
                path,
                head.host,
                tuple(
                    field
                    for field in identities.drop_headers(end_to_end, identity)
                    if field[0].lower() not in _SYSTEM_HEADERS
                ),
                body,
                timeout,
                _read_resumption(fields),
                digests.compute_digest(
                    *(
                        text.encode(errors='surrogatepass')
                        for text in (method, head.host, path, caller)
                    ),
                    body,
                ),
                None if identity is None else identity.tenant,
            )
        )

    def read_batch_call(
        self,
        call: dialect.Call,
        now: float,
        identity: tenancy.Identity | None = None,
    ) -> Result[dialect.BatchCall | None, str]:
        """Returns the operation on submissions that a call asks for.

        Returns ``None`` for any other call; fails with what is wrong.  With
        an ``identity`` the items of a submission have no keys.
        """
        path, query_text = submissions.split_target(call.path)
        query = dict(parse.parse_qsl(query_text))
        if path.startswith(_BATCH_PREFIX):
            found = model.SubmissionId(path.removeprefix(_BATCH_PREFIX))
            return _read_batch_operation(call, found, query)
        if path.startswith(_ITEM_PREFIX) and call.method == 'GET':
            found = model.SubmissionId(path.removeprefix(_ITEM_PREFIX))
            return Ok(
                dialect.ItemRead(found, model.ItemId(query.get('id', '')))
            )
        if call.method == 'POST':
            return submissions.read_submission(call, now, identity)
        return Ok(None)

    def make_request(
        self,
        call: dialect.Call,
        expected: dialect.Expectations,
        fresh: bool,
        peer: messages.Peer | None = None,
    ) -> messages.Request:
        """Returns the request to send to a target."""
        header_fields = [('Host', call.host), *call.headers]
        header_fields.append((_INSTANCE_HEADER, expected.instance))
        if call.tenant is not None:
            header_fields.append((identities.TENANT_HEADER, call.tenant))
        if expected.remaining is not None:
            remaining_ms = max(1, round(expected.remaining * 1000))
            header_fields.append((_DEADLINE_HEADER, str(remaining_ms)))
        if expected.resume_after is not None:
            header_fields = [
                field
                for field in header_fields
                if field[0].lower() != 'last-event-id'
            ]
            header_fields.append(
                (_LAST_EVENT_HEADER, str(expected.resume_after))
            )
        if expected.version is not None:
            header_fields.append(
                (_EXPECTED_VERSION_HEADER, str(expected.version))
            )
        if expected.priority is not None:
            header_fields.append((_PRIORITY_HEADER, str(expected.priority)))
        return messages.Request(
            call.method,
            call.path,
            tuple(header_fields),
            call.body,
            fresh,
            peer,
        )

    def make_start_request(
        self, instance: fleet.InstanceId, peer: messages.Peer
    ) -> messages.Request:
        """Returns the request that asks a target when it started."""
        return messages.Request(
            'GET', '/report', ((_INSTANCE_HEADER, instance),), peer=peer
        )

    def read_start(self, body: bytes) -> Result[int | None, str]:
        """Returns when a target started, ``None`` if it does not tell."""
        return (
            decoding.read_json(body, _Start)
            .map(lambda found: found.born)
            .map_error(lambda reason: f'malformed report: {reason}')
        )

    def make_item_call(
        self,
        item: model.Item,
        host: str,
        identity: tenancy.Identity | None = None,
    ) -> dialect.Call:
        """Returns the request that generates an item.

        ``identity`` is for whom it is sent, if tenants are in force.
        """
        header_fields = [
            field
            for field in identities.drop_headers(item.headers, identity)
            if field[0].lower() not in _SYSTEM_HEADERS
            and field[0].lower() != _REQUEST_ID_HEADER.lower()
        ]
        header_fields.append((_REQUEST_ID_HEADER, item.item_id))
        return dialect.Call(
            ids.RequestId(item.item_id),
            'POST',
            item.path,
            host,
            tuple(header_fields),
            item.body,
            None,
            tenant=None if identity is None else identity.tenant,
        )

    def make_reward_call(self, reward: model.RewardCall) -> dialect.Call:
        """Returns the request that scores a generated text."""
        return dialect.Call(
            reward.request_id,
            'POST',
            reward.path,
            reward.host,
            ((_REQUEST_ID_HEADER, reward.request_id),),
            reward.body,
            None,
        )

    def read_answer(
        self, status: int, headers: dialect.Headers
    ) -> dialect.AnswerHead:
        """Returns the parsed head of a target's response.

        Malformed values of optional headers are ignored.
        """
        fields = {name.lower(): value for name, value in headers}
        load, slowdown = _read_load(fields.get(_LOAD_HEADER, ''))
        version = numerals.read_whole_number(fields.get(_VERSION_HEADER, ''))
        return dialect.AnswerHead(
            request_id=fields.get(_REQUEST_ID_HEADER.lower()),
            not_run=status == _MOVED_STATUS
            or (status in _REFUSAL_STATUSES and _NOT_RUN_HEADER in fields),
            moved=status == _MOVED_STATUS,
            signature=fields.get(_SIGNATURE_HEADER),
            active_requests=sum(load[:2]) if len(load) == 3 else None,
            slots=load[2] if len(load) == 3 else None,
            version=None if version is None else ids.WeightVersion(version),
            retry_after=numerals.read_decimal(fields.get('retry-after')),
            slowdown=slowdown,
        )

    def is_leaving(self, headers: httputil.HTTPHeaders) -> bool:
        """Returns whether a target's answer says that the target leaves."""
        return headers.get(_LEAVING_HEADER, '').strip() == _LEAVING_VALUE

    def read_limit(
        self, headers: httputil.HTTPHeaders
    ) -> Result[float | None, str]:
        """Returns the requests a second that a target takes from all nodes.

        Returns ``None`` if its answer names no limit; fails if that is not a
        decimal number.
        """
        text = headers.get(_LIMIT_HEADER)
        if text is None:
            return Ok(None)
        rate = numerals.read_decimal(text)
        if rate is None or rate < 0.0:
            return Error(
                f'{_LIMIT_HEADER}: {text[:40]!r} is not a decimal number'
            )
        return Ok(rate)

    def read_event_version(self, event: bytes) -> ids.WeightVersion | None:
        """Returns the weights' version that an event announces, if any."""
        found = _EVENT_VERSION.match(event)
        number = numerals.read_whole_number(found[1]) if found else None
        return None if number is None else ids.WeightVersion(number)

    def make_response_headers(
        self,
        request_id: ids.RequestId | None,
        retry_after: float | None,
        needs_key: bool = False,
    ) -> dict[str, str]:
        """Returns the headers of a response that the gateway makes itself."""
        header_fields = {'Content-Type': 'application/json'}
        if request_id:
            header_fields[_REQUEST_ID_HEADER] = request_id
        if retry_after is not None:
            header_fields['Retry-After'] = f'{retry_after:.3f}'
        if needs_key:
            header_fields['WWW-Authenticate'] = identities.KEY_SCHEME
        return header_fields

    def encode_results(
        self,
        total: int,
        after: int,
        results: Sequence[model.ItemResult],
    ) -> bytes:
        """Returns results from position ``after`` on, as many as fit.

        At least one is included, also beyond the size limit.
        """
        encoded: list[_Result] = []
        size = 0
        for result in results:
            output = '\n'.join(result.events)
            # Estimates the JSON: the escaped text and the other fields.
            size += 2 * len(output) + 200
            if encoded and size > _MAX_RESULTS_BYTES:
                break
            encoded.append(
                _Result(
                    result.item_id,
                    result.state.value,
                    output,
                    result.versions,
                    result.score,
                )
            )
        answer = _Results(total, after + len(encoded), encoded)
        return msgspec.json.encode(answer)


def _read_head(fields: dict[str, str]) -> dialect.Head:
    """Returns the head of a request with headers by lower-case name."""
    return dialect.Head(
        ids.RequestId(fields.get(_REQUEST_ID_HEADER.lower(), '')),
        routes.normalize_host(fields.get('host', '')),
    )


def _read_batch_operation(
    call: dialect.Call,
    submission_id: model.SubmissionId,
    query: dict[str, str],
) -> Result[dialect.BatchCall | None, str]:
    if call.method == 'DELETE':
        return Ok(dialect.EndCall(submission_id))
    if call.method != 'GET':
        return Ok(None)
    after = numerals.read_whole_number(query.get('after', '0'))
    fields = {name.lower(): value for name, value in call.headers}
    wait = numerals.read_whole_number(fields.get(_WAIT_HEADER, '0'))
    if after is None or wait is None:
        return Error('after and wait-ms must be whole numbers')
    seconds = min(wait / 1000, _MAX_WAIT_S)
    return Ok(dialect.BatchRead(submission_id, after, seconds))


def _read_load(text: str) -> tuple[list[int], float | None]:
    """Returns the figures of a load header and the slowdown, if it has one.

    The figures are the requests that run, those that wait, and the slots;
    their number differs from three if the header is malformed.  The fourth
    figure of a header is the slowdown in percent; if that is malformed or 0,
    the others count.
    """
    parts = text.split(',')
    slowdown = None
    if len(parts) == _FIGURES_WITH_SLOWDOWN:
        percent = numerals.read_whole_number(parts.pop())
        slowdown = percent / 100 if percent else None
    numbers = map(numerals.read_whole_number, parts)
    load = [number for number in numbers if number is not None]
    return load, slowdown if len(load) == len(parts) else None


def _read_resumption(fields: dict[str, str]) -> dialect.Resumption | None:
    """Returns which stream a call resumes, ``None`` if it begins one."""
    text = fields.get(_LAST_EVENT_HEADER.lower(), '')
    after = numerals.read_whole_number(text)
    if not text or after == 0:
        return None
    first_id = fields.get(_RESUMES_HEADER.lower())
    return dialect.Resumption(
        after, ids.RequestId(first_id) if first_id else None
    )
