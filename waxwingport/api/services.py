"""``/v1/services/{service}/{path}``: plain services."""

from expression import Result

from waxwingport.api import handler
from waxwingport import outcomes
from waxwingport.routing import candidates
from waxwingport.targets import base

__all__ = ['Services']

_IDEMPOTENT_HEADER = 'Waxwingport-Idempotent'


class Services(handler.Handler):
    """Passes any method on to a plain service."""

    SUPPORTED_METHODS = (
        'GET',
        'HEAD',
        'POST',
        'DELETE',
        'PATCH',
        'PUT',
        'OPTIONS',
    )

    async def _pass_on(self, service: str, path: str) -> None:
        declared = self.node.configuration.declarations.service(service)
        if declared is None:
            self.send_refusal(
                outcomes.Refusal(
                    outcomes.Reason.NOT_FOUND,
                    f'no service is called {service!r}',
                )
            )
            return
        request_id = self.read_request_id()
        work = candidates.Work(
            request_id=request_id,
            group=service,
            owner=self.caller,
            work_class=candidates.WorkClass.LIVE,
            deadline=self.read_deadline(declared.timeout),
            priority=self.read_priority(),
        )
        call = self._read_call(declared, request_id, path)
        match await self.node.services.call(work, call):
            case Result(tag='ok', ok=answer):
                self._send_answer(answer)
            case Result(error=refusal):
                self.send_refusal(refusal)

    get = post = put = patch = delete = head = options = _pass_on

    def _read_call(self, declared, request_id, path) -> base.ServiceCall:
        request = self.request
        query = f'?{request.query}' if request.query else ''
        repeated = declared.non_idempotent_methods
        asked = request.headers.get(_IDEMPOTENT_HEADER, '').lower()
        idempotent = request.method not in repeated
        if asked in ('true', 'false'):
            idempotent = asked == 'true'
        return base.ServiceCall(
            method=request.method,
            path=f'/{path}{query}',
            headers=tuple(request.headers.get_all()),
            body=request.body,
            idempotent=idempotent,
            request_id=request_id,
        )

    def _send_answer(self, answer: base.ServiceAnswer) -> None:
        self.set_status(answer.status)
        self.clear_header('Content-Type')
        for name, value in answer.headers:
            self.add_header(name, value)
        self.finish(answer.body)
