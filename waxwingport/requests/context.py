"""The request id that every log line of a request carries."""

import contextvars
import logging

__all__ = ['REQUEST_ID', 'RequestIdFilter', 'install_filter']

REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default='-'
)


class RequestIdFilter(logging.Filter):
    """Adds ``request_id`` to records and to the end of their messages."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Marks the record; drops none."""
        if hasattr(record, 'request_id'):
            return True
        record.request_id = REQUEST_ID.get()
        if record.request_id != '-':
            record.msg = f'{record.msg} request_id={record.request_id}'
        return True


def install_filter(handler: logging.Handler) -> None:
    """Lets ``handler`` mark the records that it writes."""
    handler.addFilter(RequestIdFilter())
