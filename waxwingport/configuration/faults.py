"""Faults found in files and declarations."""

import msgspec

__all__ = ['Fault']


class Fault(msgspec.Struct, frozen=True, order=True):
    """One fault; converts to the text ``file: key: what``.

    ``file`` is empty for a fault in a log record, and ``key`` for one of the
    whole file.  ``what`` is the message.
    """

    file: str
    key: str
    what: str

    def __str__(self) -> str:
        parts = (self.file, self.key, self.what)
        return ': '.join(part for part in parts if part)
