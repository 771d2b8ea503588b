"""The lessor's side of leases: answers other gateways' requests from this gateway's part of a quota."""

from __future__ import annotations

from typing import Final

from .lease_messages import NEGLIGIBLE_UNITS, LeaseGrant, LeaseRelease, LeaseRequest, rounded_down
from .lease_records import GrantedLease, LeaseKey, PeerState, SentGrant
from .lease_state import LeaseState
from .quota_account import QuotaAccount

# Units for this much time of own use are not leased out: a request by this gateway would take about as long.
RESERVE_S: Final = 0.15
# The gain reported is at least this fraction of the part's rate, as this gateway's own use may end.
MIN_GAIN_RATIO: Final = 0.6
# A granted lease is dropped after this many terms, when no duplicate of its request can arrive any more.
REMEMBERED_LEASE_TERMS: Final = 4


class Lessor:
    """Grants leases to other gateways, and handles their release and expiry."""

    def __init__(self, state: LeaseState) -> None:
        """Uses the same state as the lessee's side."""
        self.state = state

    def on_request(
        self, now: int, sender: int, process: int, request: LeaseRequest, account: QuotaAccount
    ) -> None:
        """Answers a request; a duplicate gets the same answer, and takes no further units."""
        peer = self.state.peer_of_process(sender, process)
        key = LeaseKey(sender, process, request.request_id)
        granted = account.granted_leases.get(key)
        if granted is None:
            granted = self._decide(now, key, request, account, peer)
        elif granted.units and not granted.active:
            return  # a duplicate of a request whose lease has ended
        self.state.outbox.messages.append(
            LeaseGrant(
                recipient=sender,
                customer=account.customer,
                request_id=request.request_id,
                units=granted.units,
                available_units=granted.available_units,
                answer_number=granted.answer_number,
                process=process,
                gain_per_s=granted.gain_per_s,
            )
        )

    def _decide(
        self, now: int, key: LeaseKey, request: LeaseRequest, account: QuotaAccount, peer: PeerState
    ) -> GrantedLease:
        """Grants or rejects a new request, and records the answer."""
        state = self.state
        account.refill(state.clock.observe(now))
        use_per_s = account.recent_use_per_s(now)
        available_units = max(0.0, account.own_units - RESERVE_S * use_per_s)
        units = self._units_to_grant(now, request, peer, available_units)
        peer.answers_sent += 1
        if units:
            account.lease_out(units)
            peer.unconfirmed.append(SentGrant(peer.answers_sent, now))
            state.counters.grants += 1
        granted = GrantedLease(
            units=units,
            available_units=available_units - units,
            gain_per_s=max(account.rate_per_s * MIN_GAIN_RATIO, account.rate_per_s - use_per_s),
            granted_ns=now,
            answer_number=peer.answers_sent,
            active=units > 0,
        )
        account.granted_leases[key] = granted
        state.expiring[account.customer] = None
        return granted

    def _units_to_grant(
        self, now: int, request: LeaseRequest, peer: PeerState, available_units: float
    ) -> float:
        """Returns the units to grant for a request; 0 to reject it.

        A gateway gets no units while messages don't reach it: its requests are rejected as long as a grant
        that should have arrived by now is unconfirmed. A rejection costs no units and probes the path.
        """
        peer.unconfirmed = [grant for grant in peer.unconfirmed if grant.answer_number > request.last_answer]
        if peer.unconfirmed and now - peer.unconfirmed[0].sent_ns >= self.state.settings.answer_timeout_ns:
            return 0.0
        units = rounded_down(min(request.units, available_units))
        too_few = units + NEGLIGIBLE_UNITS < min(request.min_units, request.units)
        return 0.0 if too_few or units <= NEGLIGIBLE_UNITS else units

    def on_release(self, now: int, sender: int, process: int, release: LeaseRelease) -> None:
        """Handles the release of a lease; ignored unless the lease is active."""
        account = self.state.accounts.get(release.customer)
        if account is None or release.process != self.state.process:
            return
        granted = account.granted_leases.get(LeaseKey(sender, process, release.request_id))
        if granted is None or not granted.active:
            return
        account.refill(self.state.clock.observe(now))
        account.end_grant(granted)
        account.credit(min(granted.units, max(0.0, release.unused_units)))

    def expire(self, now: int, account: QuotaAccount) -> None:
        """Ends granted leases whose term is over, and drops those whose request can't arrive again."""
        lease_ns = self.state.settings.lease_ns
        for key, granted in list(account.granted_leases.items()):
            age_ns = now - granted.granted_ns
            if granted.active and age_ns >= lease_ns:
                account.end_grant(granted)
            if age_ns >= REMEMBERED_LEASE_TERMS * lease_ns:
                del account.granted_leases[key]
