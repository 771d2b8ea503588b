"""The lessee's side of leases: requests units from other gateways' parts, and returns the unused ones."""

from __future__ import annotations

import random
from typing import Final, NamedTuple

from .lease_messages import NEGLIGIBLE_UNITS, LeaseGrant, LeaseRelease, LeaseRequest, rounded_down
from .lease_records import Availability, Lease, PendingRequest
from .lease_state import LeaseState
from .quota_account import QuotaAccount
from .settings import SECOND_NS

# Holders with fewer units than the quota provides in this time are not asked, as small leases cost too many
# messages.
MIN_REQUEST_S: Final = 0.05
# A lessor's reported gain is used for this time, which is as long as recent use lasts.
GAIN_VALID_S: Final = 2.0
MAX_OVERDUE_REQUESTS: Final = 2  # in a row: a gateway then counts as silent, as a single one may just be lost
MAX_SENDS: Final = 2  # of one request: a third would come too late for the attempt that waits
MAX_LESSORS: Final = 4  # asked for one attempt, as each one costs a message and a rounding
ROUND_TRIP_WEIGHT: Final = 1 / 4  # of a new sample in the moving average
# Lessors are sorted by available units times a random factor, so that not all lessees choose the same one.
MIN_WEIGHT_RATIO: Final = 0.8  # lower end of the factor's range
WEIGHT_SPREAD_RATIO: Final = 0.4  # width of the factor's range


class Candidate(NamedTuple):
    """A holder that may have units to lease out. Candidates are sorted by weight."""

    weight: float
    units: float
    gateway: int


class Lessee:
    """Requests leases, and releases those that are used up or not needed."""

    def __init__(self, state: LeaseState, rng: random.Random) -> None:
        """Starts with a random request id, so that two processes rarely use the same ids."""
        self.state = state
        self.rng = rng
        self.last_request_id = rng.getrandbits(31)
        # accounts of requests that may be resent, by request id
        self.resendable: dict[int, QuotaAccount] = {}
        self._late_customers: dict[int, None] = {}  # customers with a resent request, in order

    # ---- requests

    def request_missing(self, now: int, account: QuotaAccount, units: float) -> bool:
        """Requests the units that an attempt of `units` lacks; returns whether answers may bring them."""
        account.refill(self.state.clock.observe(now))
        self.expire_requests(now, account)
        leased_units = account.usable_leased_units(now)
        missing_units = units - account.own_units - leased_units
        batch_remaining_units = account.batch_limit_units - account.batch_leased_units
        if leased_units + missing_units > batch_remaining_units + NEGLIGIBLE_UNITS:
            return False
        requested_units = sum(
            pending.request.units
            for pending in account.pending.values()
            if not pending.overdue and pending.sends == 1
        )
        if requested_units + NEGLIGIBLE_UNITS >= missing_units:
            return True
        ahead_units = min(self._expected_need(now, account), account.batch_limit_units - leased_units)
        min_units = missing_units - requested_units
        return self._request(now, account, max(min_units, ahead_units), min_units)

    def request_ahead(self, now: int, account: QuotaAccount) -> None:
        """Requests units for the expected use before they are missing."""
        is_only_holder = len(account.holders) < 2 and self.state.gateway in account.holders
        if is_only_holder or any(not pending.overdue for pending in account.pending.values()):
            return
        wanted_units = min(self._expected_need(now, account), account.batch_limit_units)
        present_units = account.own_units + account.leased_units()
        if present_units < wanted_units / 2:
            units = wanted_units - present_units
            self._request(now, account, units, min(units, account.quota.max_request_units) / 2)

    def _expected_need(self, now: int, account: QuotaAccount) -> float:
        """Returns the units that will be used before more can arrive, if use goes on as recently."""
        peers = self.state.peers
        round_trip_ns = max(
            (peers[holder].round_trip_ns for holder in account.holders if holder in peers), default=0.0
        )
        return (
            account.recent_use_per_s(now) * (self.state.settings.request_ahead_ns + round_trip_ns) / SECOND_NS
        )

    def _request(self, now: int, account: QuotaAccount, units: float, min_units: float) -> bool:
        """Requests leases from the holders with the most units; returns False if they have too few together.

        One silent holder, which left its last requests unanswered, gets a request as a probe. Its units are
        not relied on.
        """
        responsive, silent = self._candidates(now, account, units)
        chosen: list[Candidate] = []
        available_units = 0.0
        for candidate in sorted(responsive, reverse=True)[:MAX_LESSORS]:
            chosen.append(candidate)
            available_units += candidate.units
            if available_units >= units:
                break
        if silent:
            probed = max(silent)
            self._send_request(now, account, probed.gateway, min(units, probed.units), 0.0)
        if available_units + NEGLIGIBLE_UNITS < min_units:
            return False
        remaining_units = units
        for candidate in chosen:
            part = (
                min(remaining_units, candidate.units)
                if available_units > candidate.units
                else remaining_units
            )
            remaining_units -= part
            min_part = min_units if len(chosen) == 1 else min_units / len(chosen)
            self._send_request(now, account, candidate.gateway, part, min(part, min_part))
        return True

    def _candidates(
        self, now: int, account: QuotaAccount, units: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Returns holders that may have units: those that answer, and the silent ones."""
        responsive: list[Candidate] = []
        silent: list[Candidate] = []
        min_units = min(units, MIN_REQUEST_S * account.quota.rate)
        for holder in account.holders:
            if holder == self.state.gateway or self._awaits_answer(account, holder):
                continue
            peer = self.state.peers.get(holder)
            if peer is not None and now < peer.backoff_until_ns:
                continue
            available_units = self._estimate_available(now, account, holder)
            if available_units >= min_units and available_units > NEGLIGIBLE_UNITS:
                is_silent = peer is not None and peer.overdue_requests >= MAX_OVERDUE_REQUESTS
                weight = available_units * (MIN_WEIGHT_RATIO + WEIGHT_SPREAD_RATIO * self.rng.random())
                (silent if is_silent else responsive).append(Candidate(weight, available_units, holder))
        return responsive, silent

    @staticmethod
    def _awaits_answer(account: QuotaAccount, holder: int) -> bool:
        """Returns whether a request to the holder is pending and not overdue."""
        return any(
            pending.request.recipient == holder and not pending.overdue
            for pending in account.pending.values()
        )

    def _send_request(
        self, now: int, account: QuotaAccount, holder: int, units: float, min_units: float
    ) -> None:
        """Sends a new request to a holder."""
        state = self.state
        self.last_request_id = (self.last_request_id + 1) % 2**32
        request = LeaseRequest(
            recipient=holder,
            customer=account.customer,
            plan=account.plan,
            set_size=len(account.gateways),
            first_gateway=account.gateways[0],
            request_id=self.last_request_id,
            units=units,
            min_units=min_units,
            last_answer=state.peer(holder).last_answer,
        )
        state.outbox.messages.append(request)
        account.pending[request.request_id] = PendingRequest(
            request, now, now + state.settings.resend_interval_ns
        )
        self.resendable[request.request_id] = account
        state.expiring[account.customer] = None
        state.counters.requests += 1

    def resend(self, now: int) -> int | None:
        """Resends unanswered requests that are due; returns when to call again, None if none is left.

        The lessor answers a duplicate as it answered the first request, so no units are taken twice. Attempts
        of customers with a resent request are retried (`drain_late_customers`), so that other holders are
        asked as well.
        """
        settings = self.state.settings
        next_ns: int | None = None
        for request_id, account in list(self.resendable.items()):
            pending = account.pending.get(request_id)
            if pending is None or pending.overdue or now - pending.requested_ns >= settings.answer_timeout_ns:
                del self.resendable[request_id]
                continue
            if now >= pending.resend_ns and pending.sends < MAX_SENDS:
                pending.sends += 1
                pending.resend_ns = now + settings.resend_interval_ns
                self.state.outbox.messages.append(pending.request)
                self._late_customers[account.customer] = None
            if pending.sends < MAX_SENDS:
                next_ns = pending.resend_ns if next_ns is None else min(next_ns, pending.resend_ns)
        return next_ns

    def drain_late_customers(self) -> list[int]:
        """Returns the customers with a request that was resent since the last call."""
        drained = list(self._late_customers)
        self._late_customers = {}
        return drained

    def expire_requests(self, now: int, account: QuotaAccount) -> None:
        """Marks requests that were not answered in time, and drops those whose lease would have ended.

        A gateway that leaves several in a row unanswered gets fewer, by exponential backoff with jitter.
        """
        settings = self.state.settings
        for request_id, pending in list(account.pending.items()):
            age_ns = now - pending.requested_ns
            if age_ns >= settings.lease_ns:
                del account.pending[request_id]
            if pending.overdue or age_ns < settings.answer_timeout_ns:
                continue
            pending.overdue = True
            self.resendable.pop(request_id, None)
            self.state.counters.overdue_requests += 1
            peer = self.state.peer(pending.request.recipient)
            peer.overdue_requests += 1
            if now >= peer.backoff_until_ns and peer.overdue_requests >= MAX_OVERDUE_REQUESTS:
                doubled_ns = max(settings.backoff_ns, 2 * peer.backoff_ns)
                peer.backoff_ns = min(settings.max_backoff_ns, doubled_ns)
                peer.backoff_until_ns = now + int(peer.backoff_ns * (0.5 + self.rng.random()))

    # ---- availability at holders

    def _estimate_available(self, now: int, account: QuotaAccount, holder: int) -> float:
        """Estimates the units that a holder has available to lease out by now.

        The gain reported in its last answer is used for GAIN_VALID_S, and the rate of an equal part after
        that. A holder that has never answered is assumed to have a full token bucket.
        """
        part_ratio = 1 / len(account.holders)
        last = account.availability.get(holder)
        if last is None:
            return account.quota.burst * part_ratio
        age_s = (now - last.observed_ns) / SECOND_NS
        reported_units = last.gain_per_s * min(age_s, GAIN_VALID_S)
        assumed_units = account.quota.rate * part_ratio * max(0.0, age_s - GAIN_VALID_S)
        return min(account.quota.burst * part_ratio, last.units + (reported_units + assumed_units))

    def record_availability(
        self, now: int, account: QuotaAccount, holder: int, units: float, gain_per_s: float | None = None
    ) -> None:
        """Records the units that a holder has available; the default gain is the rate of an equal part."""
        if holder not in account.holders:
            return
        if gain_per_s is None:
            gain_per_s = account.quota.rate / len(account.holders)
        account.availability[holder] = Availability(max(0.0, units), now, gain_per_s)

    # ---- leases

    def on_grant(self, now: int, sender: int, process: int, grant: LeaseGrant) -> QuotaAccount | None:
        """Handles the answer to a request; returns the account, or None if there is no such pending request.

        An answer without a pending request, because it is a duplicate or too late, only updates the peer.
        """
        state = self.state
        account = state.accounts.get(grant.customer)
        if account is None or grant.process != state.process:
            return None
        peer = state.peer_of_process(sender, process)
        peer.last_answer = max(peer.last_answer, grant.answer_number)
        peer.backoff_until_ns = -1
        peer.backoff_ns = 0
        self.record_availability(now, account, sender, grant.available_units, grant.gain_per_s)
        pending = account.pending.get(grant.request_id)
        if pending is None or pending.request.recipient != sender:
            return None
        del account.pending[grant.request_id]
        self.resendable.pop(grant.request_id, None)
        peer.overdue_requests = 0
        if pending.sends == 1:  # otherwise it is unknown which request was answered (Karn and Partridge 1987)
            sample_ns = now - pending.requested_ns
            peer.round_trip_ns += (sample_ns - peer.round_trip_ns) * ROUND_TRIP_WEIGHT
        end_ns = pending.requested_ns + state.settings.lease_ns
        if grant.units > NEGLIGIBLE_UNITS and end_ns > now:
            units = min(grant.units, pending.request.units)
            account.leases.append(Lease(sender, process, grant.request_id, units, end_ns))
            state.expiring[account.customer] = None
        return account

    def release(self, account: QuotaAccount, lease: Lease) -> None:
        """Releases a lease: this gateway stops using it, and the lessor gets the unused units back."""
        if lease not in account.leases:
            return
        account.leases.remove(lease)
        unused_units = rounded_down(max(0.0, lease.units))
        self.state.outbox.releases.append(
            LeaseRelease(lease.lessor, account.customer, lease.request_id, unused_units, lease.process)
        )

    def release_used_up(self, account: QuotaAccount) -> None:
        """Releases leases without units left."""
        for lease in [lease for lease in account.leases if lease.units <= NEGLIGIBLE_UNITS]:
            self.release(account, lease)

    def release_unneeded(self, now: int, account: QuotaAccount) -> None:
        """Releases leases in the second half of their term that will not be used up at the recent rate."""
        half_ns = self.state.settings.lease_ns // 2
        for lease in [lease for lease in account.leases if lease.end_ns - now < half_ns]:
            remaining_ns = lease.end_ns - now
            if lease.units > account.recent_use_per_s(now) * remaining_ns / SECOND_NS:
                self.release(account, lease)
