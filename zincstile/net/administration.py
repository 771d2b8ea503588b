"""What operators steer in one process: their endpoint, their state, and the files that hand both over.

Built only where the configuration names a `control` address.
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
from .state_files import StateFiles


class Administration:
    """Owns the `OperatorState` of a process, and carries out what operators ask for."""

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
        """is_stopping: the process was told to stop; then it is not ready. describe_zones: the zones
        at a time, as text; None without configured ones."""
        self._config = config
        self._host = host
        self._dispatcher = dispatcher
        self._listener = listener
        self._table = table
        self._is_stopping = is_stopping
        self.state = OperatorState(listed=table)
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
        self.state_files = StateFiles(
            dispatcher, host, base_path=base_path, process=process, set_limits_shared=self._share_limits
        )

    # ---- start

    async def take_over(self) -> None:
        """Takes what an older process of this gateway left, before anything of this one is seen outside."""
        log = self._dispatcher.log
        log.line(f"handover: {await self.handover.load()}")
        for name in self.state.under_maintenance:
            self._table.maintenance.enter(name, self._dispatcher.now_ns())
        found = self.handover.loaded
        if found is None:
            return
        elapsed_ns = self._host.timestamp().elapsed_since_ns(found.written)
        self._table.restore_returned(
            {name: age_ns + elapsed_ns for name, age_ns in found.returned_age_ns.items()}
        )
        if found.discovery_offset_ns is not None:
            self._table.reader.clock.add_candidate_offset(found.discovery_offset_ns)
        # Until the memory is here, the old process is the one that receives what peers send.
        log.line(f"memory: {await self.state_files.inherit()}")

    def open(self, address: Address) -> None:
        """Listens for operators; raises OSError where the address can't be had."""
        self.endpoint.open(address)

    def watch_files(self) -> None:
        """Polls the files from now on."""
        run_every(self._dispatcher, self._dispatcher.limits.handover_poll_interval_ns, self._poll_files)

    def _poll_files(self) -> None:
        self.handover.poll()
        self.state_files.poll()

    # ---- what operators ask for

    def _is_ready(self) -> bool:
        return self._listener.ready and not self._is_stopping()

    def _apply(self, reply: OperatorReply) -> None:
        """Carries out what a request changes."""
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
            text = "standby: PING says no; connections are closed once nothing is owed on them"
        else:
            text = "active: taking clients again"
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
        """Carries out what another process of this gateway was asked for."""
        for name in change.entered:
            self._table.set_maintenance(name, enter=True)
        for name in change.exited:
            self._table.set_maintenance(name, enter=False)
        entered, exited = sorted(change.entered), sorted(change.exited)
        text = f"handover: maintenance enter {entered} exit {exited} by another process"
        self._dispatcher.log.line(text)

    def _share_limits(self, shared: bool) -> None:
        """Another process of this gateway serves beside this one, or no more: both have one's descriptors."""
        limits = self._config.limits
        self._dispatcher.limits = limits.shared() if shared else limits
        self._listener.shrink_to_limits()
