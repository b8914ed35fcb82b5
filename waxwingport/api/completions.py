"""``/v1/completions`` and ``/v1/chat/completions``."""

import abc
import contextlib
import time

from expression import Result
import msgspec

from waxwingport.api import handler
from waxwingport.api import problems
from waxwingport.api import protocol
from waxwingport.http import sse
from waxwingport import outcomes
from waxwingport.requests import completions
from waxwingport.routing import candidates
from waxwingport.routing import prefixes
from waxwingport.targets import base

__all__ = ['ChatCompletions', 'TextCompletions']

_DEFAULT_MAX_TOKENS = 256


class _Completions(handler.Handler):
    """What the two completion resources share."""

    object_name = ''

    @abc.abstractmethod
    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns the choice for a whole text or for one piece of it."""

    @abc.abstractmethod
    def read_prompt(self, body) -> str:
        """Returns the prompt of a request body."""

    async def run(self, body, max_tokens: int) -> None:
        """Runs the completion and answers."""
        self._model = body.model
        self._id = self.read_request_id()
        self._created = int(time.time())
        request = self._plan(self.read_prompt(body), max_tokens)
        stream = self.node.completions.stream(request)
        async with contextlib.aclosing(stream):
            if body.stream:
                await self._send_stream(stream)
            else:
                await self._send_whole(stream)

    def _plan(
        self, prompt: str, max_tokens: int
    ) -> completions.CompletionWork:
        limits = self.node.configuration.declarations.limit
        work = candidates.Work(
            request_id=self._id,
            group=self._model,
            owner=self.caller,
            work_class=candidates.WorkClass.LIVE,
            deadline=self.read_deadline(limits.default_timeout),
            priority=self.read_priority(),
            blocks=prefixes.hash_blocks(prompt),
        )
        return completions.CompletionWork(work, prompt, max_tokens)

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
        answer = self._make_answer((self.make_choice(text, finish, False),))
        answer.weight_versions = completions.list_versions(chunks) or ()
        tokens = sum(chunk.tokens for chunk in chunks)
        answer.usage = protocol.Usage(0, tokens, tokens)
        self.send_json(answer)

    async def _send_stream(self, stream) -> None:
        chunks: list[base.Chunk] = []
        async for outcome in stream:
            match outcome:
                case Result(tag='ok', ok=chunk):
                    chunks.append(chunk)
                    await self._send_chunk(chunk, chunks)
                case Result(error=refusal):
                    self._fail_stream(refusal, bool(chunks))
                    return
        self.finish(sse.DONE)

    async def _send_chunk(
        self, chunk: base.Chunk, chunks: list[base.Chunk]
    ) -> None:
        finish = chunk.finish_reason.value if chunk.finish_reason else None
        event = self._make_answer(
            (self.make_choice(chunk.text, finish, True),)
        )
        event.weight_versions = completions.list_versions(chunks) or ()
        self.set_header('Content-Type', 'text/event-stream')
        self.write(sse.format_event(msgspec.json.encode(event)))
        await self.flush()

    def _fail_stream(self, refusal: outcomes.Refusal, started: bool) -> None:
        if not started:
            self.send_refusal(refusal)
            return
        problem = problems.describe(refusal)
        error = {'error': {'message': problem.detail, **_as_dict(problem)}}
        self.finish(sse.format_event(msgspec.json.encode(error)))

    def _make_answer(self, choices) -> protocol.Completion:
        return protocol.Completion(
            id=self._id,
            object=self.object_name,
            created=self._created,
            model=self._model,
            choices=choices,
        )


def _as_dict(problem: problems.Problem) -> dict[str, object]:
    return msgspec.structs.asdict(problem)


class TextCompletions(_Completions):
    """``POST /v1/completions``."""

    object_name = 'text_completion'

    async def post(self) -> None:
        """Answers a completion, streamed or whole."""
        match handler.read_json(self.request.body, protocol.CompletionBody):
            case Result(tag='ok', ok=body):
                await self.run(body, body.max_tokens)
            case Result(error=refusal):
                self.send_refusal(refusal)

    def read_prompt(self, body: protocol.CompletionBody) -> str:
        """Returns the prompt."""
        return body.prompt

    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a text choice."""
        return protocol.Choice(text, finish_reason=finish)


class ChatCompletions(_Completions):
    """``POST /v1/chat/completions``."""

    object_name = 'chat.completion'

    async def post(self) -> None:
        """Answers a chat completion, streamed or whole."""
        match handler.read_json(self.request.body, protocol.ChatBody):
            case Result(tag='ok', ok=body):
                if body.stream:
                    self.object_name = 'chat.completion.chunk'
                wanted = body.max_completion_tokens or body.max_tokens
                await self.run(body, wanted or _DEFAULT_MAX_TOKENS)
            case Result(error=refusal):
                self.send_refusal(refusal)

    def read_prompt(self, body: protocol.ChatBody) -> str:
        """Returns the messages as one prompt, the last one at its end."""
        return '\n'.join(
            f'{row.role}: {row.content or ""}' for row in body.messages
        )

    def make_choice(self, text: str, finish: str | None, delta: bool):
        """Returns a chat choice."""
        message = protocol.ChatMessage('assistant', text)
        if delta:
            return protocol.ChatChoice(0, delta=message, finish_reason=finish)
        return protocol.ChatChoice(0, message=message, finish_reason=finish)
