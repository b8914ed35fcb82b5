"""Resources ``/v1/completions`` and ``/v1/chat/completions``."""

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
from waxwingport.routing import model
from waxwingport.routing import prefixes
from waxwingport.targets import base

__all__ = ['ChatCompletions', 'TextCompletions']


class _Completions(handler.Handler):
    """Base of the two completion resources.

    ``object_name`` and ``event_name`` are the ``object`` fields of a whole
    answer and of one event of a stream.
    """

    object_name = ''
    event_name = ''

    def initialize(self, node) -> None:
        """Sets the node that this handler serves."""
        super().initialize(node)
        self._events: events.EventStream | None = None

    @abc.abstractmethod
    def read_request(
        self,
    ) -> Result[bodies.CompletionRequest, outcomes.Refusal]:
        """Returns the checked body, or a refusal that names its fault."""

    @abc.abstractmethod
    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a choice with a whole text, or one chunk if ``delta``."""

    async def post(self) -> None:
        """Answers a completion request with one body or with a stream."""
        match self.read_request():
            case Result(tag='ok', ok=request):
                if self.check_allowed(request.model):
                    await self.run_cancellable(self._run(request))
            case Result(error=refusal):
                self.send_refusal(refusal)

    def send_interrupted(self, refusal: outcomes.Refusal) -> None:
        """Ends a stream that has started with an error event."""
        if self._events is not None and self._headers_written:
            self._events.finish(_encode_error(refusal))
        else:
            self._events = None
            super().send_interrupted(refusal)

    async def _run(self, request: bodies.CompletionRequest) -> None:
        self._created = int(time.time())
        self._completion_request = request
        stream = self.node.completions.stream(self._make_work(request))
        async with contextlib.aclosing(stream):
            if request.stream:
                await self._send_stream(stream)
            else:
                await self._send_whole(stream)

    def _make_work(
        self, request: bodies.CompletionRequest
    ) -> completions.CompletionWork:
        limits = self.node.configuration.declarations.effective_limits
        work = model.Work(
            request_id=self.request_options.request_id,
            group=request.model,
            owner=self.caller,
            work_class=model.WorkClass.LIVE,
            deadline=self.compute_deadline(limits.default_timeout),
            priority=self.request_options.priority,
            blocks=prefixes.hash_blocks(request.prompt),
        )
        return completions.CompletionWork(
            work, request.prompt, request.max_tokens, request.parameters
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
        answer.usage = _make_usage(sum(chunk.tokens for chunk in chunks))
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
        if self._completion_request.include_usage:
            event = self._make_answer((), versions.list())
            event.usage = _make_usage(tokens)
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
            self._events.finish(_encode_error(refusal))

    def _make_answer(
        self, choices, versions: tuple[ids.WeightVersion, ...] | None
    ) -> protocol.Completion:
        return protocol.Completion(
            id=self.request_options.given_id
            or self.request_options.request_id,
            object=(
                self.event_name
                if self._completion_request.stream
                else self.object_name
            ),
            created=self._created,
            model=self._completion_request.model,
            choices=choices,
            weight_versions=versions or (),
        )


def _encode_error(refusal: outcomes.Refusal) -> bytes:
    problem = problems.describe(refusal)
    error = protocol.StreamError(
        message=problem.detail,
        type=problem.type,
        code=problem.status,
        ran=problem.ran,
    )
    return sse.format_event(msgspec.json.encode(protocol.ErrorEvent(error)))


def _make_usage(tokens: int) -> protocol.Usage:
    return protocol.Usage(0, tokens, tokens)


class TextCompletions(_Completions):
    """Resource ``POST /v1/completions``."""

    object_name = event_name = 'text_completion'

    def read_request(
        self,
    ) -> Result[bodies.CompletionRequest, outcomes.Refusal]:
        """Returns the checked body, or a refusal that names its fault."""
        limit = self.node.settings.requests.max_tokens
        return bodies.read_completion(self.request.body, limit)

    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a choice of a text completion."""
        return protocol.Choice(text, finish_reason=finish)


class ChatCompletions(_Completions):
    """Resource ``POST /v1/chat/completions``."""

    object_name = 'chat.completion'
    event_name = 'chat.completion.chunk'

    def read_request(
        self,
    ) -> Result[bodies.CompletionRequest, outcomes.Refusal]:
        """Returns the checked body, or a refusal that names its fault."""
        limit = self.node.settings.requests.max_tokens
        return bodies.read_chat(self.request.body, limit)

    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a choice of a chat completion."""
        message = protocol.ChatMessage('assistant', text)
        if delta:
            return protocol.ChatChoice(0, delta=message, finish_reason=finish)
        return protocol.ChatChoice(0, message=message, finish_reason=finish)
