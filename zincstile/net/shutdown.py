"""Graceful shutdown: serve on while clients come, answer what is left, and end within a bound.

Guards against a balancer that goes on sending to a gateway until it finds it dead, and against ending with a
request unanswered.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..decisions.messages import RequestAbandoned
from .clients.listener import ClientListener
from .dispatcher import Dispatcher
from .limits import Limits
from .peers import Peers
from .session import FAILED
from .trace import Step

if TYPE_CHECKING:
    from .administration import Administration


class GracefulShutdown:
    """Ends one process. Owns whether it was told to stop, and `ended`."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        listener: ClientListener,
        peers: Peers,
        limits: Limits,
        administration: Administration | None,
    ) -> None:
        """limits: of the configuration; two processes that share theirs drain by the same times."""
        self._dispatcher = dispatcher
        self._listener = listener
        self._peers = peers
        self._limits = limits
        self._administration = administration
        self.begun = False
        self.ended: asyncio.Future[None] = dispatcher.loop.create_future()
        self._begun_ns = 0

    def begin(self) -> None:
        """Stops the process; a second call changes nothing.

        Serves on while clients come, as long as what they ask can still be answered; then answers what is
        left, and ends.
        """
        if self.begun:
            return
        self.begun = True
        self._dispatcher.trace.record(self._dispatcher.now_ns(), Step.STATE, "stop")
        self._dispatcher.log.line(f"stop with {len(self._dispatcher.sessions)} sessions")
        if not self._listener.has_listened:
            self._end(None)
            return
        now_ns = self._dispatcher.now_ns()
        self._begun_ns = now_ns
        self._listener.last_request_ns = now_ns
        self._drain_clients()
        end_ns = now_ns + self._limits.shutdown_ns
        deadlines = self._dispatcher.deadlines
        deadlines.add(end_ns - self._limits.drain_margin_ns, self._fail_rest)
        deadlines.add(end_ns, self._end)
        self._dispatcher.wake()

    def _drain_clients(self) -> None:
        if not self._listener.inherited or self._administration is None:
            self._shut_if_quiet(None)
            return
        handover = self._administration.handover
        if handover.successor_ready:
            self._leave_to_successor()
        else:
            handover.on_successor_ready = self._leave_to_successor  # it may yet say that it is ready
            self._shut_if_quiet(None)

    def _leave_to_successor(self) -> None:
        """Leaves the shared listening socket, and what is in its queue, to a new process that takes clients.

        Each connection is closed once no answer is owed on it. Guards against a gap where SIGTERM comes
        before the new process is ready.
        """
        if self._administration is not None:
            self._administration.handover.on_successor_ready = None
        if self._listener.closing:
            return
        self._listener.shut_down(accept_queued=False)
        self._peers.close()  # else what peers send to the address goes to one of both processes, by chance
        self._end_if_empty(None)

    def _shut_if_quiet(self, _: object) -> None:
        """Closes the listening socket once no call came for a while, or the time to drain is over."""
        if self._listener.closing:
            return  # left to a successor meanwhile
        limits = self._limits
        quiet_ns = self._listener.last_request_ns + limits.drain_quiet_ns
        shut_ns = min(self._begun_ns + limits.drain_ns, quiet_ns)
        if self._dispatcher.now_ns() < shut_ns:
            self._dispatcher.deadlines.add(shut_ns, self._shut_if_quiet)
        else:
            self._listener.shut_down()
            self._end_if_empty(None)

    def _fail_rest(self, _: object) -> None:
        """Answers what is left as failed, however long its client would wait, and takes nothing more: it
        could not be answered before the end."""
        self._listener.rejects_all = True
        for session in list(self._dispatcher.sessions.values()):
            if self._dispatcher.finish(session, FAILED):
                self._dispatcher.post(RequestAbandoned(session.id))

    def _end_if_empty(self, _: object) -> None:
        self._listener.close_idle()  # also those that came last and ask nothing
        if self._listener.is_empty:
            self._end(None)
        else:
            retry_ns = self._dispatcher.now_ns() + self._limits.backoff_ns
            self._dispatcher.deadlines.add(retry_ns, self._end_if_empty)

    def _end(self, _: object) -> None:
        if self.ended.done():
            return
        dispatcher = self._dispatcher
        dispatcher.guard.may_end(dispatcher.now_ns(), len(dispatcher.sessions))
        if self._administration is not None:
            self._administration.state_files.write_totals()
        self.ended.set_result(None)
