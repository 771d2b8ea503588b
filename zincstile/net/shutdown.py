"""Graceful shutdown: keeps serving while clients come, answers open requests, and delivers the answers.

All requests are answered within a bound. After that the process ends as soon as no client is receiving an
answer any more: a value that is being forwarded is not cut off while both its backend and its client make
progress. The platform's SIGKILL bounds that time.

Guards against a balancer that keeps sending to a gateway until a health check fails, and against ending with
unanswered requests.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from ..decisions.messages import RequestAbandoned
from .clients.listener import ClientListener
from .dispatcher import Dispatcher
from .limits import Limits
from .peers import Peers
from .session import FAILED
from .trace import Step

# How often a process that only delivers answers tells a new version that it is still there
DELIVERY_REPORT_NS: Final = 500_000_000

if TYPE_CHECKING:
    from .administration import Administration


class GracefulShutdown:
    """Shuts down one process. Owns whether shutdown has begun, and the future `ended`."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        listener: ClientListener,
        peers: Peers,
        limits: Limits,
        administration: Administration | None,
    ) -> None:
        """limits: those of the configuration; two processes that share limits use the same drain times."""
        self._dispatcher = dispatcher
        self._listener = listener
        self._peers = peers
        self._limits = limits
        self._administration = administration
        self.begun = False
        self.ended: asyncio.Future[None] = dispatcher.loop.create_future()
        self._begun_ns = 0

    def begin(self) -> None:
        """Begins the shutdown; does nothing if it has begun.

        Keeps serving while clients come and their requests can still be answered; then answers the open
        requests and ends.
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
        deadlines.add(end_ns - self._limits.drain_margin_ns, self._fail_open_requests)
        deadlines.add(end_ns, self._stop_deciding)
        self._dispatcher.wake()

    def _drain_clients(self) -> None:
        if not self._listener.inherited or self._administration is None:
            self._shut_if_quiet(None)
            return
        handover = self._administration.handover
        if handover.successor_ready:
            self._hand_over_to_successor()
        else:
            handover.on_successor_ready = self._hand_over_to_successor  # it may still become ready
            self._shut_if_quiet(None)

    def _hand_over_to_successor(self) -> None:
        """Leaves the shared listening socket and its accept queue to a new process that is ready.

        Closes each connection once its requests are answered. Called only when the new one is ready, which
        guards against refused connections if SIGTERM comes before that.
        """
        if self._administration is not None:
            self._administration.handover.on_successor_ready = None
        if self._listener.closing:
            return
        self._listener.shut_down(accept_queued=False)
        self._peers.close()  # else peers' datagrams reach either process at random
        self._end_if_empty(None)

    def _shut_if_quiet(self, _: object) -> None:
        """Closes the listening socket once no request came for a while, or the drain time is over."""
        if self._listener.closing:
            return  # a successor has taken over meanwhile
        limits = self._limits
        quiet_ns = self._listener.last_request_ns + limits.drain_quiet_ns
        shut_ns = min(self._begun_ns + limits.drain_ns, quiet_ns)
        if self._dispatcher.now_ns() < shut_ns:
            self._dispatcher.deadlines.add(shut_ns, self._shut_if_quiet)
        else:
            self._listener.shut_down()
            self._end_if_empty(None)

    def _fail_open_requests(self, _: object) -> None:
        """Fails all open requests, whatever their deadlines, and rejects new ones: they could not be answered
        before the process ends."""
        self._listener.rejects_all = True
        for session in list(self._dispatcher.sessions.values()):
            if self._dispatcher.finish(session, FAILED):
                self._dispatcher.post(RequestAbandoned(session.id))

    def _end_if_empty(self, _: object) -> None:
        self._listener.close_idle()  # includes new connections without a request
        if self._listener.is_empty:
            self._end(None)
        else:
            retry_ns = self._dispatcher.now_ns() + self._limits.backoff_ns
            self._dispatcher.deadlines.add(retry_ns, self._end_if_empty)

    def _stop_deciding(self, _: object) -> None:
        """Every request is answered: leaves the fleet, and ends once the answers are delivered."""
        if self.ended.done():
            return
        delivering = self._listener.count_receiving()
        if not delivering:
            self._end(None)
            return
        self._dispatcher.log.line(f"stop waits for {delivering} clients that receive their answers")
        self._peers.close()
        self._report_delivery(None)
        self._end_when_delivered(None)

    def _report_delivery(self, _: object) -> None:
        if self._administration is None or self.ended.done():
            return
        self._administration.state_files.write_totals(ended=False)
        next_ns = self._dispatcher.now_ns() + DELIVERY_REPORT_NS
        self._dispatcher.deadlines.add(next_ns, self._report_delivery)

    def _end_when_delivered(self, _: object) -> None:
        if self._listener.count_receiving():
            retry_ns = self._dispatcher.now_ns() + self._limits.backoff_ns
            self._dispatcher.deadlines.add(retry_ns, self._end_when_delivered)
        else:
            self._end(None)

    def _end(self, _: object) -> None:
        if self.ended.done():
            return
        dispatcher = self._dispatcher
        dispatcher.guard.may_end(dispatcher.now_ns(), len(dispatcher.sessions))
        if self._administration is not None:
            self._administration.state_files.write_totals(ended=True)
        self.ended.set_result(None)
