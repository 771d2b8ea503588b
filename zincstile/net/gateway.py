"""One gateway, put together: what is built from which settings. `lifecycle` starts, reloads and ends it."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from .backends.attempts import Attempts
from .backends.pool import ConnectionPool
from .clients.listener import ClientListener
from .config import Config
from .counters import Counters
from .discovery.reader import EndpointReader
from .discovery.table import EndpointTable
from .discovery.watcher import EndpointWatcher
from .dispatcher import Dispatcher
from .host import HOST, Host
from .lifecycle import Lifecycle, Parts
from .log import Log
from .peers import Peers
from .policy_assembly import build_policy
from .shutdown import GracefulShutdown

if TYPE_CHECKING:
    from .administration import Administration
    from .cold_start import ColdStart
    from .quota_service import QuotaServiceClient


class Gateway:
    """The parts of one gateway process. Each owns its own state; this class owns none beyond them."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, host: Host = HOST) -> None:
        """Builds the parts, opens nothing: `lifecycle.run` does."""
        self.config = config
        self.host = host
        self.log = Log(config.name, host=host)
        self.counters = Counters()
        assembled = build_policy(config, host)
        self.admission_is_open = assembled.admission_is_open
        self.describe_zones = assembled.describe_zones
        self.dispatcher = Dispatcher(loop, assembled.policy, config.limits, self.counters, self.log, host)
        # One buffer for all connections: each read is taken out of it at once.
        read_buffer = memoryview(bytearray(config.limits.read_bytes))
        self.listener = ClientListener(self.dispatcher, config.settings, read_buffer, host)
        self.pool = ConnectionPool(self.dispatcher)
        self.attempts = Attempts(self.dispatcher, config.settings, self.pool, read_buffer)
        self.peers = Peers(self.dispatcher, config.peers)
        reader = EndpointReader(config.zones, config.backend_types, host)
        self.table = EndpointTable(self.dispatcher, reader, self.pool.update)
        self.watcher = EndpointWatcher(
            self.dispatcher, self.table, config.discovery, self._become_ready, random.Random(config.seed)
        )
        quota_client, starter = self._connect_features(read_buffer)
        administration = self._build_administration() if config.admin_address else None
        self.shutdown = GracefulShutdown(
            self.dispatcher, self.listener, self.peers, config.limits, administration
        )
        parts = Parts(
            dispatcher=self.dispatcher,
            listener=self.listener,
            pool=self.pool,
            peers=self.peers,
            watcher=self.watcher,
            quota_client=quota_client,
            starter=starter,
            administration=administration,
        )
        self.lifecycle = Lifecycle(config, host, parts, self.shutdown)

    def _become_ready(self, _: object = None) -> None:
        self.lifecycle.become_ready()

    def _connect_features(
        self, read_buffer: memoryview
    ) -> tuple[QuotaServiceClient | None, ColdStart | None]:
        """Connects what the configuration's `features` switch on; returns what the lifecycle needs of it."""
        config = self.config
        quota_client, starter = None, None
        if config.quota_service:
            from .feature_messages import connect_quota_service

            quota_client = connect_quota_service(config, self.dispatcher, self.peers, read_buffer)
        if config.leases:
            from .feature_messages import connect_leases

            connect_leases(self.dispatcher, self.peers)
        if config.cold_start:
            starter = self._build_starter()
        if config.zone_failover:
            from .feature_messages import connect_zone_failover

            connect_zone_failover(self.dispatcher, self.peers)
        return quota_client, starter

    def _build_starter(self) -> ColdStart:
        """Builds what starts this gateway beside others: with a list from those that have one."""
        from .cold_start import ColdStart

        config = self.config
        return ColdStart(
            self.dispatcher,
            self.peers,
            self.watcher,
            config.cold_start,
            config.settings.gateway_index,
            config.settings.gateway_count,
            config.settings.gossip_in_per_s,
            config.seed,
            self._become_ready,
            self.admission_is_open,
        )

    def _build_administration(self) -> Administration:
        """Builds what operators steer this process by."""
        from .administration import Administration

        return Administration(
            self.config,
            self.host,
            self.dispatcher,
            self.listener,
            self.table,
            is_stopping=lambda: self.shutdown.begun,
            describe_zones=self.describe_zones,
        )
