"""The lessee's side of leases: requests units of other gateways' parts, and gives back what is left."""

from __future__ import annotations

import random
from typing import Final, NamedTuple

from .lease_messages import NEGLIGIBLE_UNITS, LeaseGrant, LeaseRelease, LeaseRequest, rounded_down
from .lease_records import Availability, Lease, PendingRequest
from .lease_state import LeaseState
from .quota_account import QuotaAccount
from .settings import SECOND_NS

MIN_REQUEST_S: Final = (
    0.05  # units that the quota gives in less are no request of their own: crumbs cost messages
)
GAIN_VALID_S: Final = (
    2.0  # what a lessor said that it gains is believed for so long: recent use lasts as long
)
MAX_OVERDUE_REQUESTS: Final = 2  # in a row, from which a gateway counts as silent: one is lost now and then
MAX_SENDS: Final = 2  # of one request: a third would come too late for the attempt that waits
MAX_LESSORS: Final = 4  # that get requests for one attempt: each more costs a message and a rounding
ROUND_TRIP_WEIGHT: Final = 1 / 4  # of a new sample in the moving average
MIN_WEIGHT_RATIO: Final = 0.8  # lessors are ordered by available units times a drawn factor, from here ...
WEIGHT_SPREAD_RATIO: Final = 0.4  # ... up by so much, so that not all lessees choose the same one


class Candidate(NamedTuple):
    """A holder that may lease out units; compared by its weight first."""

    weight: float
    units: float
    gateway: int


class Lessee:
    """Requests leases and uses them up."""

    def __init__(self, state: LeaseState, rng: random.Random) -> None:
        """Starts with a drawn request id, so that those of two processes seldom meet."""
        self.state = state
        self.rng = rng
        self.last_request_id = rng.getrandbits(31)
        self.resendable: dict[int, QuotaAccount] = {}  # requests that may be sent again, by id
        self._late_customers: dict[int, None] = {}  # those with a request that was sent again, in order

    # ---- requests

    def request_missing(self, now: int, account: QuotaAccount, units: float) -> bool:
        """Requests what an attempt of so many units lacks; returns whether an answer may bring it."""
        account.refill(self.state.clock.observe(now))
        self.expire_requests(now, account)
        leased_units = account.usable_leased_units(now)
        missing_units = units - account.own_units - leased_units
        batch_rest_units = account.batch_limit_units - account.batch_leased_units
        if leased_units + missing_units > batch_rest_units + NEGLIGIBLE_UNITS:
            return False
        coming_units = sum(
            pending.request.units
            for pending in account.pending.values()
            if not pending.overdue and pending.sends == 1
        )
        if coming_units + NEGLIGIBLE_UNITS >= missing_units:
            return True
        ahead_units = min(self._expected_need(now, account), account.batch_limit_units - leased_units)
        min_units = missing_units - coming_units
        return self._request(now, account, max(min_units, ahead_units), min_units)

    def request_ahead(self, now: int, account: QuotaAccount) -> None:
        """Requests what recent use will need, before it is missing."""
        is_only_holder = len(account.holders) < 2 and self.state.gateway in account.holders
        if is_only_holder or any(not pending.overdue for pending in account.pending.values()):
            return
        wanted_units = min(self._expected_need(now, account), account.batch_limit_units)
        present_units = account.own_units + account.leased_units()
        if present_units < wanted_units / 2:
            units = wanted_units - present_units
            self._request(now, account, units, min(units, account.quota.max_request_units) / 2)

    def _expected_need(self, now: int, account: QuotaAccount) -> float:
        """Returns the units that recent use will want before more can arrive."""
        peers = self.state.peers
        round_trip_ns = max(
            (peers[holder].round_trip_ns for holder in account.holders if holder in peers), default=0.0
        )
        return (
            account.recent_use_per_s(now) * (self.state.settings.request_ahead_ns + round_trip_ns) / SECOND_NS
        )

    def _request(self, now: int, account: QuotaAccount, units: float, min_units: float) -> bool:
        """Requests leases of those who may have most; returns False where they have too few units together.

        A gateway that left the last requests unanswered gets one beside them now and then, and is not
        counted on.
        """
        responsive, silent = self._candidates(now, account, units)
        chosen: list[Candidate] = []
        found_units = 0.0
        for candidate in sorted(responsive, reverse=True)[:MAX_LESSORS]:
            chosen.append(candidate)
            found_units += candidate.units
            if found_units >= units:
                break
        if silent:
            tested = max(silent)
            self._send_request(now, account, tested.gateway, min(units, tested.units), 0.0)
        if found_units + NEGLIGIBLE_UNITS < min_units:
            return False
        rest_units = units
        for candidate in chosen:
            part = min(rest_units, candidate.units) if found_units > candidate.units else rest_units
            rest_units -= part
            enough = min_units if len(chosen) == 1 else min_units / len(chosen)
            self._send_request(now, account, candidate.gateway, part, min(part, enough))
        return True

    def _candidates(
        self, now: int, account: QuotaAccount, units: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Returns holders that may have units: those that answered lately, and the silent ones."""
        responsive: list[Candidate] = []
        silent: list[Candidate] = []
        min_units = min(units, MIN_REQUEST_S * account.quota.rate)
        for holder in account.holders:
            if holder == self.state.gateway or self._has_request_at(account, holder):
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
    def _has_request_at(account: QuotaAccount, holder: int) -> bool:
        """Returns whether an answer of the holder is due."""
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
        """Sends requests that are not answered yet once more; returns when to call again, None for never.

        The lessor answers a duplicate as it answered the first, so nothing is taken twice. An attempt whose
        request is late does not wait for it alone (`drain_late_customers`): others get requests beside it.
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
        """Returns customers with a request that was sent again since the last call."""
        late = list(self._late_customers)
        self._late_customers = {}
        return late

    def expire_requests(self, now: int, account: QuotaAccount) -> None:
        """Marks requests that nobody answered in time, and forgets those whose lease would have ended.

        A gateway that leaves several in a row unanswered gets fewer, by a backoff that doubles.
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

    # ---- what holders have

    def _estimate_available(self, now: int, account: QuotaAccount, holder: int) -> float:
        """Returns the units that a holder may have to lease out by now.

        Its last answer said what it gains, which holds for a while; after that a part's rate is assumed. One
        that never answered is taken for full.
        """
        part_ratio = 1 / len(account.holders)
        last = account.availability.get(holder)
        if last is None:
            return account.quota.burst * part_ratio
        age_s = (now - last.observed_ns) / SECOND_NS
        said_units = last.gain_per_s * min(age_s, GAIN_VALID_S)
        assumed_units = account.quota.rate * part_ratio * max(0.0, age_s - GAIN_VALID_S)
        return min(account.quota.burst * part_ratio, last.units + (said_units + assumed_units))

    def record_availability(
        self, now: int, account: QuotaAccount, holder: int, units: float, gain_per_s: float | None = None
    ) -> None:
        """Notes that a holder has so many units; without its gain, that of an even part is assumed."""
        if holder not in account.holders:
            return
        if gain_per_s is None:
            gain_per_s = account.quota.rate / len(account.holders)
        account.availability[holder] = Availability(max(0.0, units), now, gain_per_s)

    # ---- leases

    def on_grant(self, now: int, sender: int, process: int, grant: LeaseGrant) -> QuotaAccount | None:
        """Takes the answer to a request of this process; returns the account that it belongs to.

        An answer that was not requested, or that comes twice or too late, is ignored.
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
        if pending.sends == 1:  # else it is unknown which of them was answered (Karn and Partridge 1987)
            sample_ns = now - pending.requested_ns
            peer.round_trip_ns += (sample_ns - peer.round_trip_ns) * ROUND_TRIP_WEIGHT
        end_ns = pending.requested_ns + state.settings.lease_ns
        if grant.units > NEGLIGIBLE_UNITS and end_ns > now:
            units = min(grant.units, pending.request.units)
            account.leases.append(Lease(sender, process, grant.request_id, units, end_ns))
            state.expiring[account.customer] = None
        return account

    def release(self, account: QuotaAccount, lease: Lease) -> None:
        """Gives a lease back: no more of it is used here, and its lessor may lend its units again."""
        if lease not in account.leases:
            return
        account.leases.remove(lease)
        unused_units = rounded_down(max(0.0, lease.units))
        self.state.outbox.releases.append(
            LeaseRelease(lease.lessor, account.customer, lease.request_id, unused_units, lease.process)
        )

    def release_used_up(self, account: QuotaAccount) -> None:
        """Gives back leases of which nothing is left."""
        for lease in [lease for lease in account.leases if lease.units <= NEGLIGIBLE_UNITS]:
            self.release(account, lease)

    def release_unneeded(self, now: int, account: QuotaAccount) -> None:
        """Gives back leases in the second half of their time that recent use will not use up."""
        half_ns = self.state.settings.lease_ns // 2
        for lease in [lease for lease in account.leases if lease.end_ns - now < half_ns]:
            left_ns = lease.end_ns - now
            if lease.units > account.recent_use_per_s(now) * left_ns / SECOND_NS:
                self.release(account, lease)
