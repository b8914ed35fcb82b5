"""What is wrong with a file or a declaration."""

import msgspec

__all__ = ['Fault']


class Fault(msgspec.Struct, frozen=True, order=True):
    """One fault; prints as ``file: key: what is wrong``.

    ``file`` is empty for a fault in a record of the log.
    """

    file: str
    key: str
    what: str

    def __str__(self) -> str:
        parts = (self.file, self.key, self.what)
        return ': '.join(part for part in parts if part)
