"""``/v1/completions`` and ``/v1/chat/completions``."""

import abc
import contextlib
import time

from expression import Result
import msgspec

from waxwingport.api import bodies
from waxwingport.api import events
from waxwingport.api import handler
from waxwingport.api import problems
from waxwingport.api import protocol
from waxwingport.http import sse
from waxwingport import ids
from waxwingport import outcomes
from waxwingport.requests import assembly
from waxwingport.requests import completions
from waxwingport.routing import candidates
from waxwingport.routing import prefixes
from waxwingport.targets import base

__all__ = ['ChatCompletions', 'TextCompletions']


class _Completions(handler.Handler):
    """What the two completion resources share."""

    object_name = ''
    event_name = ''

    def initialize(self, node) -> None:
        """Takes the node that this handler serves."""
        super().initialize(node)
        self._events: events.EventStream | None = None

    @abc.abstractmethod
    def read_plan(self) -> Result[bodies.Plan, outcomes.Refusal]:
        """Returns what the request's body asks for."""

    @abc.abstractmethod
    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns the choice for a whole text or for one piece of it."""

    async def post(self) -> None:
        """Answers a completion, streamed or whole."""
        match self.read_plan():
            case Result(tag='ok', ok=plan):
                if self.check_allowed(plan.model):
                    await self.guard(self._run(plan))
            case Result(error=refusal):
                self.send_refusal(refusal)

    def send_cut(self, refusal: outcomes.Refusal) -> None:
        """Ends a started stream with an error event."""
        if self._events is not None and self._headers_written:
            self._events.finish(_write_error(refusal))
        else:
            self._events = None
            super().send_cut(refusal)

    async def _run(self, plan: bodies.Plan) -> None:
        self._created = int(time.time())
        self._plan = plan
        stream = self.node.completions.stream(self._make_work(plan))
        async with contextlib.aclosing(stream):
            if plan.stream:
                await self._send_stream(stream)
            else:
                await self._send_whole(stream)

    def _make_work(self, plan: bodies.Plan) -> completions.CompletionWork:
        limits = self.node.configuration.declarations.effective_limits
        work = candidates.Work(
            request_id=self.terms.request_id,
            group=plan.model,
            owner=self.caller,
            work_class=candidates.WorkClass.LIVE,
            deadline=self.find_deadline(limits.default_timeout),
            priority=self.terms.priority,
            blocks=prefixes.hash_blocks(plan.prompt),
        )
        return completions.CompletionWork(
            work, plan.prompt, plan.max_tokens, plan.parameters
        )

    async def _send_whole(self, stream) -> None:
        chunks: list[base.Chunk] = []
        async for outcome in stream:
            match outcome:
                case Result(tag='ok', ok=chunk):
                    chunks.append(chunk)
                case Result(error=refusal):
                    self.send_refusal(refusal)
                    return
        text = ''.join(chunk.text for chunk in chunks)
        finish = chunks[-1].finish_reason.value
        answer = self._make_answer(
            (self.make_choice(text, finish, False),),
            completions.list_versions(chunks),
        )
        answer.usage = _count_tokens(sum(chunk.tokens for chunk in chunks))
        self.set_header('Content-Type', 'application/json')
        await self.send_body(msgspec.json.encode(answer))

    async def _send_stream(self, stream) -> None:
        versions = assembly.AnswerVersions()
        tokens = 0
        async for outcome in stream:
            match outcome:
                case Result(tag='ok', ok=chunk):
                    tokens += chunk.tokens
                    versions.add(chunk.weight_version)
                    await self._send_chunk(chunk, versions.list())
                case Result(error=refusal):
                    self._fail_stream(refusal)
                    return
        if self._plan.include_usage:
            event = self._make_answer((), versions.list())
            event.usage = _count_tokens(tokens)
            self._events.queue(msgspec.json.encode(event))
        self._events.finish(sse.DONE)

    async def _send_chunk(
        self,
        chunk: base.Chunk,
        versions: tuple[ids.WeightVersion, ...] | None,
    ) -> None:
        if self._events is None:
            self.set_header('Content-Type', 'text/event-stream')
            self.set_header('Cache-Control', 'no-cache')
            self._events = events.EventStream(
                self, self.node.settings.requests
            )
        finish = chunk.finish_reason.value if chunk.finish_reason else None
        event = self._make_answer(
            (self.make_choice(chunk.text, finish, True),), versions
        )
        data = msgspec.json.encode(event)
        if finish is None:
            await self._events.send(data)
        else:
            self._events.queue(data)

    def _fail_stream(self, refusal: outcomes.Refusal) -> None:
        if self._events is None:
            self.send_refusal(refusal)
        else:
            self._events.finish(_write_error(refusal))

    def _make_answer(
        self, choices, versions: tuple[ids.WeightVersion, ...] | None
    ) -> protocol.Completion:
        return protocol.Completion(
            id=self.terms.given_id or self.terms.request_id,
            object=(
                self.event_name if self._plan.stream else self.object_name
            ),
            created=self._created,
            model=self._plan.model,
            choices=choices,
            weight_versions=versions or (),
        )


def _write_error(refusal: outcomes.Refusal) -> bytes:
    problem = problems.describe(refusal)
    error = protocol.StreamError(
        message=problem.detail,
        type=problem.type,
        code=problem.status,
        ran=problem.ran,
    )
    return sse.format_event(msgspec.json.encode(protocol.ErrorEvent(error)))


def _count_tokens(tokens: int) -> protocol.Usage:
    return protocol.Usage(0, tokens, tokens)


class TextCompletions(_Completions):
    """``POST /v1/completions``."""

    object_name = event_name = 'text_completion'

    def read_plan(self) -> Result[bodies.Plan, outcomes.Refusal]:
        """Returns what the request's body asks for."""
        limit = self.node.settings.requests.max_tokens
        return bodies.read_completion(self.request.body, limit)

    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a text choice."""
        return protocol.Choice(text, finish_reason=finish)


class ChatCompletions(_Completions):
    """``POST /v1/chat/completions``."""

    object_name = 'chat.completion'
    event_name = 'chat.completion.chunk'

    def read_plan(self) -> Result[bodies.Plan, outcomes.Refusal]:
        """Returns what the request's body asks for."""
        limit = self.node.settings.requests.max_tokens
        return bodies.read_chat(self.request.body, limit)

    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a chat choice."""
        message = protocol.ChatMessage('assistant', text)
        if delta:
            return protocol.ChatChoice(0, delta=message, finish_reason=finish)
        return protocol.ChatChoice(0, message=message, finish_reason=finish)
