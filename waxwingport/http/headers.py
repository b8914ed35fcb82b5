"""End-to-end headers of messages that are forwarded."""

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
    """Returns the end-to-end headers among ``headers``.

    Drops hop-by-hop headers, ``Host``, and the headers that ``Connection``
    names.  ``keep_length`` keeps ``Content-Length``, which the response to a
    ``HEAD`` request needs.
    """
    fields = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = _HOP_BY_HOP | connection_options
    if keep_length:
        dropped -= {'content-length'}
    return tuple(field for field in fields if field[0].lower() not in dropped)
