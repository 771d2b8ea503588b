"""Operators' control of one process: the admin endpoint, its state and the files for a handover.

Built only if the configuration has a `control` address.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from ..admin.operator_state import MaintenanceChange, OperatorChange, OperatorReply, OperatorState
from .admin_endpoint import AdminEndpoint
from .clients.listener import ClientListener
from .config import Address, Config
from .deadlines import run_every
from .discovery.table import EndpointTable
from .dispatcher import Dispatcher
from .handover_file import HandoverFile
from .host import Host
from .request_id_file import RequestIdFile
from .state_files import StateFiles


class Administration:
    """Owns the `OperatorState` of a process, and carries out operators' requests."""

    def __init__(
        self,
        config: Config,
        host: Host,
        dispatcher: Dispatcher,
        listener: ClientListener,
        table: EndpointTable,
        *,
        is_stopping: Callable[[], bool],
        describe_zones: Callable[[int], str] | None,
    ) -> None:
        """is_stopping: whether shutdown has begun, in which case the process is not ready. describe_zones:
        returns the state of the zones at a time as text; None without configured zones."""
        self._config = config
        self._host = host
        self._dispatcher = dispatcher
        self._listener = listener
        self._table = table
        self._is_stopping = is_stopping
        self.state = OperatorState(listed_names=table)
        if describe_zones is not None:
            self.state.zones = config.zones
            self.state.describe_zones = lambda: describe_zones(dispatcher.now_ns())
        base_path = os.path.join(host.tmpdir(), f"zincstile-{config.name}")
        process = f"{config.seed:x}"
        self.handover = HandoverFile(
            dispatcher,
            self.state,
            host,
            path=f"{base_path}.handover",
            gateway=config.name,
            process=process,
            on_maintenance=self._adopt_maintenance,
            returned_at_ns=table.returned_at_ns,
            discovery_offset_ns=lambda: table.reader.clock.offset_ns,
        )
        self.endpoint = AdminEndpoint(
            dispatcher, self.state, self.handover, host, apply=self._apply, is_ready=self._is_ready
        )
        self.request_ids = RequestIdFile(
            dispatcher,
            host,
            base_path=base_path,
            process=process,
            current_ids=listener.request_ids.non_idempotent,
        )
        listener.request_ids.other_process = self.request_ids
        self.state_files = StateFiles(
            dispatcher, host, base_path=base_path, process=process, set_limits_shared=self._share_limits
        )

    # ---- start

    async def take_over(self) -> None:
        """Adopts what an older process of this gateway left, before this one is visible to others."""
        log = self._dispatcher.log
        log.line(f"handover: {await self.handover.load()}")
        for name in self.state.under_maintenance:
            self._table.maintenance.enter(name, self._dispatcher.now_ns())
        loaded = self.handover.loaded
        if loaded is None:
            return
        elapsed_ns = self._host.timestamp().elapsed_since_ns(loaded.written_at)
        self._table.restore_returned(
            {name: age_ns + elapsed_ns for name, age_ns in loaded.returned_age_ns.items()}
        )
        if loaded.discovery_offset_ns is not None:
            self._table.reader.clock.add_candidate_offset(loaded.discovery_offset_ns)
        self.request_ids.clear()
        # Until the state is inherited, peers' messages still go to the old process.
        log.line(f"memory: {await self.state_files.inherit()}")

    def open(self, address: Address) -> None:
        """Starts to listen for operators. Raises OSError if the address can't be bound."""
        self.endpoint.open(address)

    def watch_files(self) -> None:
        """Starts to poll the files."""
        run_every(self._dispatcher, self._dispatcher.limits.handover_poll_interval_ns, self._poll_files)

    def _poll_files(self) -> None:
        self.handover.poll()
        self.state_files.poll()

    # ---- operators' requests

    def _is_ready(self) -> bool:
        return self._listener.ready and not self._is_stopping()

    def _apply(self, reply: OperatorReply) -> None:
        """Carries out the change of a request."""
        change = reply.change
        if change is OperatorChange.STANDBY:
            self._set_standby(standby=True)
        elif change is OperatorChange.ACTIVE:
            self._set_standby(standby=False)
        elif change in (OperatorChange.MAINTENANCE_ENTER, OperatorChange.MAINTENANCE_EXIT):
            self._set_maintenance(reply.name, enter=change is OperatorChange.MAINTENANCE_ENTER)
        elif change is not OperatorChange.NONE:
            self._change_zone(reply)
        self._dispatcher.wake()

    def _set_standby(self, *, standby: bool) -> None:
        if standby:
            text = "standby: PING fails; connections are closed once all their requests are answered"
        else:
            text = "active: accepting clients again"
        self._dispatcher.log.line(text)
        self._listener.set_standby(standby=standby)

    def _set_maintenance(self, name: str, *, enter: bool) -> None:
        self._table.set_maintenance(name, enter=enter)
        self._dispatcher.log.line(f"maintenance {'enter' if enter else 'exit'} {name}")
        self.handover.save()

    def _change_zone(self, reply: OperatorReply) -> None:
        from ..zone_failover.events import ZoneOverridden

        zone = self._config.zones.index(reply.name)
        drain = reply.change is OperatorChange.ZONE_DRAIN
        freeze = reply.change is OperatorChange.ZONE_HOLD
        self._dispatcher.post(ZoneOverridden(zone, drained=drain, frozen=freeze))
        self._dispatcher.log.line(f"zone {reply.text}")

    def _adopt_maintenance(self, change: MaintenanceChange) -> None:
        """Applies maintenance that operators requested at another process of this gateway."""
        for name in change.entered:
            self._table.set_maintenance(name, enter=True)
        for name in change.exited:
            self._table.set_maintenance(name, enter=False)
        entered, exited = sorted(change.entered), sorted(change.exited)
        text = f"handover: maintenance enter {entered} exit {exited} by another process"
        self._dispatcher.log.line(text)

    def _share_limits(self, shared: bool) -> None:
        """Halves the limits while another process of this gateway runs, as both share one's descriptors."""
        limits = self._config.limits
        self.request_ids.share(shared)
        self._dispatcher.limits = limits.shared() if shared else limits
        self._listener.shrink_to_limits()
