"""The right to send one request to one target."""

import abc
import asyncio

from waxwingport.routing import model
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['Grant', 'GrantIssuer']


class GrantIssuer(abc.ABC):
    """Issues grants and is told of their outcome and release."""

    @abc.abstractmethod
    def record_request_end(
        self, grant: 'Grant', elapsed: float, fault: base.TargetFault | None
    ) -> None:
        """Records how the request of a grant ended, before its release.

        ``elapsed`` is in seconds; ``fault`` is ``None`` for an answer.
        """

    @abc.abstractmethod
    def handle_release(self, grant: 'Grant') -> None:
        """Frees what the issuer reserved for ``grant``."""


class Grant:
    """The right to send one request to ``target``.

    The owner of a grant must call ``finish`` or ``release`` in the end.
    ``preempted`` is set when a live call needs the slot of a rollout: the
    owner then cancels its request, releases the grant and acquires a new one.
    A ``protected`` grant is never preempted.
    """

    def __init__(
        self,
        work: model.Work,
        target: table.Target,
        issuer: GrantIssuer,
        expected: float,
        protected: bool = False,
    ) -> None:
        self.work = work
        self.target = target
        self.preempted = asyncio.Event()
        self.protected = protected
        self._issuer = issuer
        self._expected = expected
        self._active = True
        self._sent_at = asyncio.get_running_loop().time()
        target.start_request(expected)

    def finish(self, fault: base.TargetFault | None = None) -> None:
        """Releases the grant and records how its request ended.

        ``fault`` is ``None`` for an answered request.  Does nothing after a
        release.
        """
        if not self._active:
            return
        if not self.preempted.is_set():
            now = asyncio.get_running_loop().time()
            self._issuer.record_request_end(self, now - self._sent_at, fault)
        self.release()

    def release(self) -> None:
        """Releases the grant; does nothing if it was released before."""
        if self._active:
            self._active = False
            self.target.finish_request()
            self._issuer.handle_release(self)
