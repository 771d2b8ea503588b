"""Failure detection: whether a gateway trusts its quota service, and which part of a quota belongs there.

Every gateway adds 1 to one counter of the service, its heartbeat. A total that falls comes from a service
that has forgotten: a new one.

A gateway uses only the part of a quota that belongs to itself and to those peers that said within
`peer_timeout_ns` that they trust the same service. One that trusts none uses its even part, but not before
every peer must have stopped counting on it (`fallback_delay_ns` after its last message of trust). So no part
of a quota has two owners at any time.
"""

from __future__ import annotations

from enum import Enum

from .messages import MAX_TOTALS, HeartbeatCall, PeerHeartbeat
from .peers import HeartbeatTotals, Peers
from .settings import SECOND_NS, QuotaServiceSettings


class ServiceState(Enum):
    """How far a gateway trusts its quota service. The values stand in the log."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"  # a heartbeat has no answer yet: nothing is leased, and what was sent still holds
    LOST = "lost"
    NEW = "new"  # it has forgotten totals: nothing is leased before the next epoch


class FailureDetector:
    """The state of one gateway's quota service. Starts without a service."""

    def __init__(self, settings: QuotaServiceSettings, gateway: int, now: int) -> None:
        """Takes the gateway's number, and the time by the gateways' common clock in nanoseconds."""
        self.settings = settings
        self.gateway = gateway
        self.state = ServiceState.LOST
        self.state_changes: list[tuple[int, ServiceState]] = []  # when, and to which state
        self.leases_from_ns = 0  # nothing is leased before then
        self.trusted_since_ns = 0  # without a gap
        self._totals = HeartbeatTotals()
        self.peers = Peers(settings, self._totals)
        self._trust_sent_ns = now  # by this process, or at the latest by the one before it
        self._missed_heartbeats = 0

    # ---- the quota service

    def heartbeat_call(self, now: int) -> HeartbeatCall:
        """The heartbeat that is due now."""
        number = now // self.settings.heartbeat_counter_ns
        return HeartbeatCall(f"zs.beat.{number}", number)

    def heartbeat_answered(self, now: int, counter_number: int, total: float | None) -> None:
        """Takes the answer to a heartbeat; None where none came in time, or none with a number."""
        if total is None or total < 1 or total != int(total):
            self._heartbeat_missed(now)
            return
        self._missed_heartbeats = 0
        totals = self._totals
        if counter_number < totals.counter_number:
            return  # a late answer of the counter before
        if counter_number > totals.counter_number:
            totals.begin_counter(counter_number)
        if total <= totals.last:
            self.on_counters_lost(now)
            totals.clear()
        elif self.state is not ServiceState.NEW or now >= self.leases_from_ns:
            self._change_state(now, ServiceState.TRUSTED)
        totals.record(now, int(total))

    def on_counters_lost(self, now: int) -> None:
        """The total of some counter fell: the service is a new one.

        What was leased of the current epoch is forgotten there, so nothing more of it is leased.
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
        """Whether the gateway's part belongs to the service, for itself and for its peers."""
        return self.state in (ServiceState.TRUSTED, ServiceState.SUSPECT)

    def may_lease(self, now: int) -> bool:
        """Whether new leases may be taken."""
        return self.state is ServiceState.TRUSTED and now >= self.leases_from_ns

    # ---- peers

    def peer_heartbeat(self, now: int) -> PeerHeartbeat:
        """The message for all peers: at every heartbeat, and at once when trust ends."""
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
        """The part of a quota of these gateways that belongs to those on this service; 0 without one."""
        if not self.trusts_service:
            return 0.0
        on_it = sum(peer == self.gateway or self.peers.on_same_service(now, peer) for peer in gateways)
        return on_it / len(gateways)

    def service_part_since(self, now: int, gateways: list[int], since_ns: int) -> float:
        """The same, of those that have used the service without a gap since then.

        The others may have sent what this service never counted.
        """
        if not self.trusts_service or max(self.trusted_since_ns, self.leases_from_ns) > since_ns:
            return 0.0
        on_it = sum(
            peer == self.gateway or self.peers.on_same_service_since(now, peer, since_ns) for peer in gateways
        )
        return on_it / len(gateways)

    def fallback_from_ns(self) -> int:
        """From when this gateway may use its even part, if it trusts no service till then."""
        return self._trust_sent_ns + self.settings.fallback_delay_ns

    def log_line(self, now: int) -> str:
        """The state as a line of the log."""
        on_it, known = self.peers.counts(now)
        return (
            f"quota service {self.state.value}, {on_it} of {known} peers on it, "
            f"{(now - self._trust_sent_ns) / SECOND_NS:.1f} s since the last message of trust"
        )
