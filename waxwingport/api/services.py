"""``/v1/services/{service}/{path}``: plain services."""

import logging
from urllib import parse

from expression import Result

from waxwingport.api import handler
from waxwingport.configuration import declarations
from waxwingport.http import headers as http_headers
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.requests import request_ids
from waxwingport.requests import services
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['Services']

_PREFIX = '/v1/services/'
_CALLER = 'Waxwingport-Caller'
_REQUEST_ID = 'Waxwingport-Request-Id'
_METHODS = (
    'GET',
    'HEAD',
    'POST',
    'DELETE',
    'PATCH',
    'PUT',
    'OPTIONS',
    'QUERY',
    'REPORT',
    'SEARCH',
    'PROPFIND',
    'PROPPATCH',
    'MKCOL',
    'COPY',
    'MOVE',
    'LOCK',
    'UNLOCK',
)
_SAFE_METHODS = frozenset(
    {
        'GET',
        'HEAD',
        'DELETE',
        'PUT',
        'OPTIONS',
        'QUERY',
        'REPORT',
        'SEARCH',
        'PROPFIND',
    }
)
"""Methods that are idempotent by their definition."""
_LOG = logging.getLogger(__name__)


class Services(handler.Handler):
    """Passes any method on to a plain service."""

    SUPPORTED_METHODS = _METHODS

    async def _pass_on(self) -> None:
        raw_name, _, path = self.request.path[len(_PREFIX) :].partition('/')
        name = parse.unquote(raw_name)
        declared = self.node.configuration.declarations.find_service(name)
        if declared is None:
            self.send_refusal(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'no service is called {name!r}',
                )
            )
        elif self.check_allowed(name):
            await self.guard(self._run(declared, path))

    get = head = post = delete = patch = put = options = _pass_on
    query = report = search = propfind = proppatch = mkcol = _pass_on
    copy = move = lock = unlock = _pass_on

    async def _run(self, declared: declarations.Service, path: str) -> None:
        call = self._read_call(declared, path)
        refusal = self._check_ids(call)
        if refusal is not None:
            self.send_refusal(refusal)
            return
        limits = self.node.configuration.declarations.effective_limits
        request = services.ServiceWork(
            caller=self.caller,
            work=self._make_work(declared),
            call=call,
            minted_id=self.terms.given_id,
            key=self.terms.key,
            key_window=limits.key_window,
        )
        match await self.node.services.call(request):
            case Result(tag='ok', ok=answer):
                await self._send_answer(answer)
            case Result(error=refusal):
                self.send_refusal(refusal)

    def _make_work(self, declared: declarations.Service) -> candidates.Work:
        return candidates.Work(
            request_id=self.terms.request_id,
            group=declared.name,
            owner=self.caller,
            work_class=candidates.WorkClass.LIVE,
            deadline=self.find_deadline(declared.timeout),
            priority=self.terms.priority,
        )

    def _check_ids(self, call: base.ServiceCall) -> outcomes.Refusal | None:
        given = self.terms.given_id
        if call.idempotent or given is None:
            return None
        if self.terms.key is not None:
            detail = f'{_REQUEST_ID} and Idempotency-Key exclude each other'
        elif not request_ids.is_issued(given):
            detail = (
                f'{_REQUEST_ID}: take one from /v1/request-ids, or send an '
                'id of your own as Idempotency-Key'
            )
        else:
            return None
        return outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail)

    def _read_call(
        self, declared: declarations.Service, path: str
    ) -> base.ServiceCall:
        request = self.request
        _, mark, query = request.uri.partition('?')
        asked = self.terms.idempotent
        return base.ServiceCall(
            method=request.method,
            path=f'/{path}{mark}{query}',
            headers=self._read_headers(),
            body=request.body,
            idempotent=(
                _is_idempotent(declared, request.method)
                if asked is None
                else asked
            ),
            request_id=ids.RequestId(
                self.terms.given_id or self.terms.request_id
            ),
        )

    def _read_headers(self) -> tuple[tuple[str, str], ...]:
        """Returns the headers to pass on.

        Where callers are declared, their tokens stay here and the service
        learns the caller's name instead.
        """
        rows = http_headers.keep_end_to_end(self.request.headers.get_all())
        known = bool(self.node.configuration.declarations.callers)
        dropped = {_REQUEST_ID.lower()}
        if known:
            dropped |= {'authorization', _CALLER.lower()}
        kept = [row for row in rows if row[0].lower() not in dropped]
        if known:
            kept.append((_CALLER, self.caller))
        request_id = self.terms.given_id or self.terms.request_id
        return (*kept, (_REQUEST_ID, request_id))

    async def _send_answer(self, answer: base.ServiceAnswer) -> None:
        self.set_status(answer.status)
        self.clear_header('Content-Type')
        for name in {name.lower() for name, _ in answer.headers}:
            self.clear_header(name)
        for name, value in answer.headers:
            try:
                self.add_header(name, value)
            except ValueError:
                _LOG.warning('unsendable header name=%r', name)
        body = b'' if self.request.method == 'HEAD' else answer.body
        await self.send_body(body)


def _is_idempotent(declared: declarations.Service, method: str) -> bool:
    if method in declared.non_idempotent_methods:
        return False
    # POST and PATCH are idempotent where the declaration leaves them out.
    return method in _SAFE_METHODS or method in ('POST', 'PATCH')
