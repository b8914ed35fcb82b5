"""End-to-end headers of a message that is passed on."""

from collections.abc import Iterable

__all__ = ['keep_end_to_end']

_HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def keep_end_to_end(
    headers: Iterable[tuple[str, str]], keep_length: bool = False
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that belong to the message, not the connection.

    Drops those that ``Connection`` names as well.  ``keep_length`` keeps
    ``Content-Length``, as the answer to ``HEAD`` needs.
    """
    rows = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in rows
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = _HOP_BY_HOP | named
    if keep_length:
        dropped -= {'content-length'}
    return tuple(row for row in rows if row[0].lower() not in dropped)
