"""Assembles the chunks of one answer; each token position counts once."""

import msgspec

from waxwingport import ids
from waxwingport.targets import base

__all__ = ['AnswerAssembly', 'AnswerVersions']


class AnswerAssembly:
    """The part of an answer received so far, from all connections and engines.

    ``position`` is the number of tokens in ``text``.  ``finished`` is true
    after the chunk with a finish reason.
    """

    def __init__(self) -> None:
        self.position = 0
        self.finished = False
        self.software: ids.SoftwareVersion | None = None
        """Version of the engines' software that began the answer, ``None``
        without a chunk.  No other one may go on with it."""
        self._parts: list[str] = []

    @property
    def text(self) -> str:
        """The text received so far."""
        return ''.join(self._parts)

    def add_chunk(
        self, chunk: base.Chunk
    ) -> base.Chunk | base.TargetFault | None:
        """Returns the new part of ``chunk``, ``None`` if nothing is new.

        Returns a fault if the chunk leaves a gap or overlaps only partly
        with the tokens received: text can't be split inside a chunk.  The
        same if another version of the software than the first one made it.
        """
        if self.software not in (None, chunk.software):
            return _make_version_fault(self.software, chunk)
        if chunk.position == self.position and _has_valid_token_count(chunk):
            self.software = chunk.software
            self.position += chunk.tokens
            self._parts.append(chunk.text)
            self.finished = chunk.finish_reason is not None
            return chunk
        end = chunk.position + chunk.tokens
        if chunk.position < 0 or chunk.tokens < 0 or end > self.position:
            return self._make_fault(chunk)
        if not _has_valid_token_count(chunk):
            return self._make_fault(chunk)
        if chunk.finish_reason is not None and end == self.position:
            self.finished = True
            return msgspec.structs.replace(chunk, tokens=0, text='')
        return None

    def _make_fault(self, chunk: base.Chunk) -> base.TargetFault:
        detail = (
            f'chunk of {chunk.tokens} tokens at {chunk.position} does not '
            f'continue position {self.position}'
        )
        return base.TargetFault(base.TargetFaultKind.BROKEN, detail, sent=True)


def _make_version_fault(
    begun_at: ids.SoftwareVersion | None, chunk: base.Chunk
) -> base.TargetFault:
    detail = (
        f'software version {chunk.software!r} does not go on with an answer '
        f'of {begun_at!r}'
    )
    return base.TargetFault(base.TargetFaultKind.BROKEN, detail, sent=True)


class AnswerVersions:
    """The distinct weight versions of an answer, in order."""

    def __init__(self) -> None:
        self._versions: dict[ids.WeightVersion, None] = {}
        self._complete = True
        self._version_list: tuple[ids.WeightVersion, ...] = ()

    def add(self, version: ids.WeightVersion | None) -> None:
        """Adds the version of the next chunk; ``None`` if it has none."""
        if version is None:
            self._complete = False
        elif version not in self._versions:
            self._versions[version] = None
            self._version_list = tuple(self._versions)

    def list(self) -> tuple[ids.WeightVersion, ...] | None:
        """Returns the versions, ``None`` if a chunk lacked its version."""
        return self._version_list if self._complete else None


def _has_valid_token_count(chunk: base.Chunk) -> bool:
    # Text without tokens advances no position, so a repeated chunk of it
    # could not be detected.
    if chunk.tokens > 0:
        return True
    return chunk.tokens == 0 and (
        not chunk.text or chunk.finish_reason is not None
    )
