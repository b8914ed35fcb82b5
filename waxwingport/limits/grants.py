"""The right to send one request to one target."""

import abc
import asyncio

from waxwingport.routing import model
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['Grant', 'GrantIssuer']


class GrantIssuer(abc.ABC):
    """Issues grants; each reports the end of its request and its release."""

    @abc.abstractmethod
    def record_request_end(
        self, grant: 'Grant', elapsed: float, fault: base.TargetFault | None
    ) -> None:
        """Records how the request of a grant ended, before its release.

        ``elapsed`` is in seconds; ``fault`` is ``None`` for an answer.
        """

    @abc.abstractmethod
    def handle_release(self, grant: 'Grant') -> None:
        """Makes the slot of a released grant available to other requests."""


class Grant:
    """The right to send one request to ``target``.

    Whoever acquired a grant must call ``finish`` or ``release`` in the end.
    ``preempted`` is set when a live call needs the slot of a rollout: the
    task that runs the request then cancels it, releases the grant and
    acquires a new one.  A ``protected`` grant is never preempted.
    ``expected_time`` is the time in seconds that such a request takes, 0 if
    it is unknown.
    """

    def __init__(
        self,
        work: model.Work,
        target: table.Target,
        issuer: GrantIssuer,
        expected_time: float,
        protected: bool = False,
    ) -> None:
        self.work = work
        self.target = target
        self.preempted = asyncio.Event()
        self.protected = protected
        self._issuer = issuer
        self._expected_time = expected_time
        self._active = True
        self._granted_at = asyncio.get_running_loop().time()
        target.start_request(expected_time)

    def finish(self, fault: base.TargetFault | None = None) -> None:
        """Releases the grant and records how its request ended.

        ``fault`` is ``None`` for an answered request.  Does nothing after a
        release.
        """
        if not self._active:
            return
        if not self.preempted.is_set():
            now = asyncio.get_running_loop().time()
            self._issuer.record_request_end(
                self, now - self._granted_at, fault
            )
        self.release()

    def release(self) -> None:
        """Releases the grant; does nothing if it was released before."""
        if self._active:
            self._active = False
            self.target.finish_request()
            self._issuer.handle_release(self)
