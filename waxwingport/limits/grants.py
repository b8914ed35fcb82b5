"""The right to send one request to one target."""

import abc
import asyncio

from waxwingport.routing import candidates
from waxwingport.targets import base
from waxwingport.targets import table

__all__ = ['Grant', 'GrantIssuer']


class GrantIssuer(abc.ABC):
    """Who gave a grant and takes it back."""

    @abc.abstractmethod
    def record_outcome(
        self, grant: 'Grant', taken: float, fault: base.TargetFault | None
    ) -> None:
        """Takes the outcome of a grant's request, before its release."""

    @abc.abstractmethod
    def handle_release(self, grant: 'Grant') -> None:
        """Takes the release of a grant."""


class Grant:
    """The right to send one request to ``target``.

    Whoever holds it calls ``finish`` or ``release`` in the end.
    ``preempted`` is set when a rollout has to give way to a live call: its
    holder cancels the request, releases the grant and asks for another one.
    A grant that is ``protected`` is not preempted.
    """

    def __init__(
        self,
        work: candidates.Work,
        target: table.Target,
        holder: GrantIssuer,
        usual: float,
        protected: bool = False,
    ) -> None:
        self.work = work
        self.target = target
        self.preempted = asyncio.Event()
        self.protected = protected
        self._holder = holder
        self._usual = usual
        self._held = True
        self._sent_at = asyncio.get_running_loop().time()
        target.start_request(usual)

    def finish(self, fault: base.TargetFault | None = None) -> None:
        """Gives the right back and tells how the request ended.

        Without a fault it was answered.  Does nothing once given back.
        """
        if not self._held:
            return
        if not self.preempted.is_set():
            now = asyncio.get_running_loop().time()
            self._holder.record_outcome(self, now - self._sent_at, fault)
        self.release()

    def release(self) -> None:
        """Gives the right back; does nothing the second time."""
        if self._held:
            self._held = False
            self.target.finish_request()
            self._holder.handle_release(self)
