"""The life of one gateway process: start, readiness, reload at SIGHUP, and the signals that lead to each."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from ..decisions.messages import Started
from .backends.pool import ConnectionPool
from .clients.listener import ClientListener
from .config import Config, ConfigError
from .discovery.watcher import EndpointWatcher
from .dispatcher import Dispatcher
from .host import Host
from .peers import Peers
from .shutdown import GracefulShutdown
from .trace import Step
from .transient import is_transient_file_error, retry_while_exhausted

if TYPE_CHECKING:
    from .administration import Administration
    from .cold_start import ColdStart
    from .quota_service import QuotaServiceClient

# SIGHUP comes once: a file that the machine can't open for now is tried again, for 3 s in all.
RELOAD_RETRY_NS: Final = 100_000_000
RELOAD_ATTEMPTS: Final = 30


@dataclass(frozen=True, slots=True)
class Parts:
    """What a gateway consists of (`gateway`); None for what its configuration doesn't switch on."""

    dispatcher: Dispatcher
    listener: ClientListener
    pool: ConnectionPool
    peers: Peers
    watcher: EndpointWatcher
    quota_client: QuotaServiceClient | None
    starter: ColdStart | None
    administration: Administration | None


class Lifecycle:
    """Starts and reloads one gateway; `GracefulShutdown` ends it."""

    def __init__(self, config: Config, host: Host, parts: Parts, shutdown: GracefulShutdown) -> None:
        """Reads no file and opens no socket: `run` does."""
        self._config = config
        self._host = host
        self._parts = parts
        self._shutdown = shutdown
        self._dispatcher = parts.dispatcher
        self._log = parts.dispatcher.log

    # ---- start

    async def run(self, early_signals: list[int] | None = None) -> None:
        """Runs the gateway from its start to its end.

        early_signals: those that came before this process could handle them. Raises OSError where an address
        can't be had.
        """
        self._handle_signals(early_signals or [])
        administration = self._parts.administration
        if administration is not None:
            await self._unless_ended(administration.take_over())
        peer_address = self._config.peer_listen
        if peer_address is not None:
            await retry_while_exhausted(lambda: self._parts.peers.open(peer_address))
        if not self._shutdown.begun:  # else no client was taken yet, and none is
            await self._serve()
        await self._shutdown.ended
        self.log_counters()
        self._log.line("end")

    def _handle_signals(self, early_signals: list[int]) -> None:
        loop = self._dispatcher.loop
        loop.set_exception_handler(self._log_fault)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._shutdown.begin)
        loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if signal.SIGHUP in early_signals:
            loop.call_soon(self.reload)

    def _log_fault(self, _: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Counts what escaped a connection's callback: asyncio closes that connection and goes on."""
        self._dispatcher.counters.faults += 1
        err = context.get("exception")
        self._log.line_limited("fault", f"{type(err).__name__}: {err} in {context.get('message')}")

    async def _unless_ended(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a part of the start; it is left where it stands when the process is told to end."""
        task = self._dispatcher.loop.create_task(work)
        await asyncio.wait((task, self._shutdown.ended), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            task.result()  # its error is the start's
        else:
            task.cancel()

    async def _serve(self) -> None:
        """Listens for clients, peers' gossip having begun; takes them once an endpoint list is here."""
        config, parts, dispatcher = self._config, self._parts, self._dispatcher
        dispatcher.post(Started())
        known = self._apply_initial_list()
        await retry_while_exhausted(lambda: parts.listener.listen(config.listen, config.socket_fd))
        administration, admin_address = parts.administration, config.admin_address
        if administration is not None and admin_address is not None:
            await retry_while_exhausted(lambda: administration.open(admin_address))
            administration.watch_files()
        if parts.starter is None and known:
            # Discovery may be down: then the known list must do.
            dispatcher.deadlines.add(
                dispatcher.now_ns() + config.limits.initial_list_wait_ns, self.become_ready
            )
        dispatcher.wake()
        if config.quota_service or config.leases:
            from .bound_report import log_quota_bounds

            log_quota_bounds(config, self._log)
        self._log_addresses()

    def _apply_initial_list(self) -> bool:
        """Begins with the endpoint list that the start was given; False where there is none."""
        starter = self._parts.starter
        return apply_initial_list(self._config, self._parts.watcher if starter is None else starter)

    def _log_addresses(self) -> None:
        listener, administration = self._parts.listener, self._parts.administration
        inherited = " (inherited)" if listener.inherited else ""
        operators = f", operators on {administration.endpoint.address}" if administration else ""
        peers = self._parts.peers.address
        self._log.line(f"start listening on {listener.address}{inherited}, peers on {peers}{operators}")

    # ---- readiness

    def become_ready(self, _: object = None) -> None:
        """Takes clients from now on, where an endpoint list is here; a second call changes nothing."""
        parts = self._parts
        if parts.listener.ready or not self._may_be_ready():
            return
        self._dispatcher.trace.record(self._dispatcher.now_ns(), Step.STATE, "ready")
        parts.listener.start_serving()
        if parts.administration is not None:
            parts.administration.handover.announce_ready()
        source = "from discovery" if parts.watcher.has_discovery_list else "cached"
        if parts.starter is not None:
            source = parts.starter.readiness.trust.value
        self._log.line(f"ready with {len(parts.pool.listed)} backend servers, {source}")

    def _may_be_ready(self) -> bool:
        """A list is here: discovery's, peers', or the one known before."""
        return self._dispatcher.guard.may_be_ready(
            self._dispatcher.now_ns(),
            len(self._parts.pool.listed),
            list_received=self._parts.watcher.has_discovery_list or self._parts.starter is not None,
        )

    # ---- while it serves

    def log_counters(self) -> None:
        """Logs the counters and the state of the policy; at SIGUSR1 and at the end."""
        self._log.line(self._dispatcher.counters.line(self._host))
        self._log.line("state " + json.dumps(self._dispatcher.policy.state_values()))

    def reload(self, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Reads again where discovery and the quota service are found (SIGHUP); all else stays as it is.

        Sessions, connections and all that is remembered go on. A file that is broken or half written leaves
        the old configuration in force; one that the machine can't open for now is tried again.
        """
        try:
            config = self._host.reload_config()
        except (ConfigError, OSError) as err:
            if is_transient_file_error(err.__cause__ or err) and attempts > 1:
                retry_ns = self._dispatcher.now_ns() + RELOAD_RETRY_NS
                self._dispatcher.deadlines.add(retry_ns, self.reload, attempts - 1)
                self._dispatcher.wake()
                return
            self._log.line(f"reload rejected: {' '.join(str(err).split())}; the old configuration stands")
            return
        self._dispatcher.counters.reloads += 1
        self._config.discovery = config.discovery
        self._parts.watcher.move(config.discovery)
        if self._parts.quota_client is not None and config.quota_service_address:
            self._parts.quota_client.move(config.quota_service_address)
        self._log.line("reload discovery at {}:{}".format(*config.discovery))


def apply_initial_list(config: Config, source: EndpointWatcher | ColdStart) -> bool:
    """Hands the endpoint list that the start was given to who begins with it; False where there is none.

    It is taken out of the configuration: as JSON it takes more memory than all that is made of it.
    """
    known = config.initial_list
    config.initial_list = {}
    source.begin(known)
    return bool(known.get("endpoints"))
