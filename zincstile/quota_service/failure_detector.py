"""Decides whether a gateway trusts its quota service, and which part of each quota belongs to that service.

As a heartbeat, every gateway adds 1 to one common counter of the service. If the total does not grow, the
service has lost its counters and counts as a new one.

Of each quota, the gateways on a service use only the part that belongs to themselves: a gateway counts itself
and the peers that reported trust in the same service within `peer_timeout_ns`. A gateway that trusts no
service falls back to an equal part, but not until every peer has stopped counting it (`fallback_delay_ns`
after it last reported trust). So no part of a quota has two owners at any time.
"""

from __future__ import annotations

from enum import Enum

from .messages import MAX_TOTALS, HeartbeatCall, PeerHeartbeat
from .peers import HeartbeatTotals, Peers
from .settings import SECOND_NS, QuotaServiceSettings


class ServiceState(Enum):
    """Whether a gateway trusts its quota service. The values appear in the log."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"  # a heartbeat was not answered: no new leases, but the gateway still counts as on it
    LOST = "lost"
    NEW = "new"  # it lost its counters: no new leases before the next epoch


class FailureDetector:
    """Tracks the state of one gateway's quota service. The initial state is LOST."""

    def __init__(self, settings: QuotaServiceSettings, gateway: int, now: int) -> None:
        """Starts at `now`, on the gateways' common clock; `gateway` is this gateway's number."""
        self.settings = settings
        self.gateway = gateway
        self.state = ServiceState.LOST
        self.state_changes: list[tuple[int, ServiceState]] = []  # time and new state
        self.leases_from_ns = 0  # no new leases before this time
        self.trusted_since_ns = 0  # start of the current uninterrupted time of trust
        self._totals = HeartbeatTotals()
        self.peers = Peers(settings, self._totals)
        # When this gateway last reported trust to its peers. A previous process may have done so until now.
        self._trust_sent_ns = now
        self._missed_heartbeats = 0

    # ---- the quota service

    def heartbeat_call(self, now: int) -> HeartbeatCall:
        """Returns the heartbeat to send now."""
        number = now // self.settings.heartbeat_counter_ns
        return HeartbeatCall(f"zs.beat.{number}", number)

    def heartbeat_answered(self, now: int, counter_number: int, total: float | None) -> None:
        """Handles the answer to a heartbeat; `total` is None if there was no valid answer in time."""
        if total is None or total < 1 or total != int(total):
            self._heartbeat_missed(now)
            return
        self._missed_heartbeats = 0
        totals = self._totals
        if counter_number < totals.counter_number:
            return  # a late answer from an earlier counter
        if counter_number > totals.counter_number:
            totals.begin_counter(counter_number)
        if total <= totals.last:
            self.on_counters_lost(now)
            totals.clear()
        elif self.state is not ServiceState.NEW or now >= self.leases_from_ns:
            self._change_state(now, ServiceState.TRUSTED)
        totals.record(now, int(total))

    def on_counters_lost(self, now: int) -> None:
        """Handles a total that shows that the service has lost its counters.

        The service no longer knows what was leased in the current epoch, so nothing more of it is leased.
        """
        self.leases_from_ns = (now // self.settings.epoch_ns + 1) * self.settings.epoch_ns
        self._change_state(now, ServiceState.NEW)

    def _heartbeat_missed(self, now: int) -> None:
        self._missed_heartbeats += 1
        if self._missed_heartbeats >= self.settings.max_missed_heartbeats:
            self._change_state(now, ServiceState.LOST)
        elif self.state is ServiceState.TRUSTED:
            self._change_state(now, ServiceState.SUSPECT)

    def _change_state(self, now: int, state: ServiceState) -> None:
        if state is self.state:
            return
        if not self.trusts_service:
            self.trusted_since_ns = now
        self.state = state
        self.state_changes.append((now, state))

    @property
    def trusts_service(self) -> bool:
        """Whether this gateway's part of the quotas belongs to the service."""
        return self.state in (ServiceState.TRUSTED, ServiceState.SUSPECT)

    def may_lease(self, now: int) -> bool:
        """Returns whether new leases may be requested."""
        return self.state is ServiceState.TRUSTED and now >= self.leases_from_ns

    # ---- peers

    def peer_heartbeat(self, now: int) -> PeerHeartbeat:
        """Returns the message for all peers, sent with every heartbeat and whenever the state changes."""
        if self.trusts_service:
            self._trust_sent_ns = now
        totals = self._totals
        return PeerHeartbeat(
            self.gateway,
            now,
            self.trusts_service,
            totals.counter_number,
            totals.latest(MAX_TOTALS),
            totals.last_answer_ns,
        )

    def service_part(self, now: int, gateways: list[int]) -> float:
        """Returns the fraction of these gateways that are on this gateway's service; 0 if it trusts none."""
        if not self.trusts_service:
            return 0.0
        on_service = sum(peer == self.gateway or self.peers.on_same_service(now, peer) for peer in gateways)
        return on_service / len(gateways)

    def service_part_since(self, now: int, gateways: list[int], since_ns: int) -> float:
        """Like `service_part`, but counts only gateways that have been on the service since `since_ns`.

        The others may have sent units that this service has not counted.
        """
        if not self.trusts_service or max(self.trusted_since_ns, self.leases_from_ns) > since_ns:
            return 0.0
        on_service = sum(
            peer == self.gateway or self.peers.on_same_service_since(now, peer, since_ns) for peer in gateways
        )
        return on_service / len(gateways)

    def fallback_from_ns(self) -> int:
        """Returns when this gateway may fall back to its equal part, if it trusts no service until then."""
        return self._trust_sent_ns + self.settings.fallback_delay_ns

    def log_line(self, now: int) -> str:
        """Returns the state as a log line."""
        on_service, known = self.peers.counts(now)
        return (
            f"quota service {self.state.value}, {on_service} of {known} peers use it, "
            f"{(now - self._trust_sent_ns) / SECOND_NS:.1f} s since this gateway last reported trust in it"
        )
