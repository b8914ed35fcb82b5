"""Resource ``/v1/services/{service}/{path}``: calls to plain services."""

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
from waxwingport.routing import model
from waxwingport.targets import base

__all__ = ['Services']

_PATH_PREFIX = '/v1/services/'
_CALLER_HEADER = 'Waxwingport-Caller'
_REQUEST_ID_HEADER = 'Waxwingport-Request-Id'
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
_IDEMPOTENT_METHODS = frozenset(
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
"""Methods whose definition makes them idempotent."""
_LOG = logging.getLogger(__name__)


class Services(handler.Handler):
    """Forwards requests of any method to a plain service."""

    SUPPORTED_METHODS = _METHODS

    async def _forward(self) -> None:
        raw_name, _, path = self.request.path[len(_PATH_PREFIX) :].partition(
            '/'
        )
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
            await self.run_cancellable(self._run(declared, path))

    get = head = post = delete = patch = put = options = _forward
    query = report = search = propfind = proppatch = mkcol = _forward
    copy = move = lock = unlock = _forward

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
            minted_id=self.request_options.given_id,
            key=self.request_options.key,
            key_window=limits.key_window,
        )
        match await self.node.services.call(request):
            case Result(tag='ok', ok=answer):
                await self._send_answer(answer)
            case Result(error=refusal):
                self.send_refusal(refusal)

    def _make_work(self, declared: declarations.Service) -> model.Work:
        return model.Work(
            request_id=self.request_options.request_id,
            group=declared.name,
            owner=self.caller,
            work_class=model.WorkClass.LIVE,
            deadline=self.compute_deadline(declared.timeout),
            priority=self.request_options.priority,
        )

    def _check_ids(self, call: base.ServiceCall) -> outcomes.Refusal | None:
        given_id = self.request_options.given_id
        if call.idempotent or given_id is None:
            return None
        if self.request_options.key is not None:
            detail = (
                f'{_REQUEST_ID_HEADER} and Idempotency-Key are mutually '
                'exclusive'
            )
        elif not request_ids.is_issued(given_id):
            detail = (
                f'{_REQUEST_ID_HEADER}: expected an id from /v1/request-ids; '
                'send an id of your own as Idempotency-Key'
            )
        else:
            return None
        return outcomes.Refusal(outcomes.Reason.BAD_REQUEST, detail)

    def _read_call(
        self, declared: declarations.Service, path: str
    ) -> base.ServiceCall:
        request = self.request
        _, question_mark, query = request.uri.partition('?')
        idempotent = self.request_options.idempotent
        return base.ServiceCall(
            method=request.method,
            path=f'/{path}{question_mark}{query}',
            headers=self._read_headers(),
            body=request.body,
            idempotent=(
                _is_idempotent(declared, request.method)
                if idempotent is None
                else idempotent
            ),
            request_id=ids.RequestId(
                self.request_options.given_id
                or self.request_options.request_id
            ),
        )

    def _read_headers(self) -> tuple[tuple[str, str], ...]:
        """Returns the headers to forward.

        If callers are declared, the caller's token is removed and the service
        gets the caller's name instead.
        """
        headers = http_headers.keep_end_to_end(self.request.headers.get_all())
        authenticated = bool(self.node.configuration.declarations.callers)
        dropped = {_REQUEST_ID_HEADER.lower()}
        if authenticated:
            dropped |= {'authorization', _CALLER_HEADER.lower()}
        forwarded = [
            pair for pair in headers if pair[0].lower() not in dropped
        ]
        if authenticated:
            forwarded.append((_CALLER_HEADER, self.caller))
        request_id = (
            self.request_options.given_id or self.request_options.request_id
        )
        return (*forwarded, (_REQUEST_ID_HEADER, request_id))

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
    # POST and PATCH count as idempotent unless the declaration lists them.
    return method in _IDEMPOTENT_METHODS or method in ('POST', 'PATCH')
