"""Puts the chunks of one answer together, each position once."""

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['AnswerAssembly', 'AnswerVersions']


class AnswerAssembly:
    """What came of one answer so far, over every connection and engine.

    ``position`` counts the tokens of ``text``.
    """

    def __init__(self) -> None:
        self.position = 0
        self.finished = False
        self._parts: list[str] = []

    @property
    def text(self) -> str:
        """The text so far."""
        return ''.join(self._parts)

    def add_chunk(
        self, chunk: base.Chunk
    ) -> base.Chunk | base.TargetFault | None:
        """Returns what is new in ``chunk``, ``None`` if nothing is.

        Returns a fault when the chunk does not continue the answer where
        it stands: text can be cut only between chunks.
        """
        if chunk.position == self.position and _is_counted(chunk):
            self.position += chunk.tokens
            self._parts.append(chunk.text)
            self.finished = chunk.finish_reason is not None
            return chunk
        end = chunk.position + chunk.tokens
        if chunk.position < 0 or chunk.tokens < 0 or end > self.position:
            return self._refuse(chunk)
        if not _is_counted(chunk):
            return self._refuse(chunk)
        if chunk.finish_reason is not None and end == self.position:
            self.finished = True
            return msgspec.structs.replace(chunk, tokens=0, text='')
        return None

    def _refuse(self, chunk: base.Chunk) -> base.TargetFault:
        detail = (
            f'chunk of {chunk.tokens} tokens at {chunk.position} does not '
            f'continue position {self.position}'
        )
        return base.TargetFault(base.TargetFaultKind.BROKEN, detail, sent=True)


class AnswerVersions:
    """The distinct weight versions of an answer, in order."""

    def __init__(self) -> None:
        self._seen: dict[ids.WeightVersion, None] = {}
        self._known = True
        self._listed: tuple[ids.WeightVersion, ...] = ()

    def add(self, version: ids.WeightVersion | None) -> None:
        """Takes the version of the next chunk."""
        if version is None:
            self._known = False
        elif version not in self._seen:
            self._seen[version] = None
            self._listed = tuple(self._seen)

    def list(self) -> tuple[ids.WeightVersion, ...] | None:
        """Returns the versions, or ``None`` if a chunk named none."""
        return self._listed if self._known else None


def _is_counted(chunk: base.Chunk) -> bool:
    # Text without a token has no position, so a repeat would not show.
    if chunk.tokens > 0:
        return True
    return chunk.tokens == 0 and (
        not chunk.text or chunk.finish_reason is not None
    )
