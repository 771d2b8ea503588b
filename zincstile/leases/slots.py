"""Limits a customer's requests in flight: each slot has one owner, and can be leased to another gateway.

A plan's limit is divided among a customer's holders in whole slots, so that they add up to the limit under
any partition. A request occupies a slot from its decision until it is over. A gateway without a free slot
requests one from another holder. The lease lasts for the longest deadline plus `answer_timeout_ns` from its
request, and is used only for requests whose deadline is earlier. The lessor counts the same time from its
answer, so it can reuse the slot after that time without a message; a release returns it earlier.

A limit can be exceeded in one case only: after the restart of a lessor, by the slots that it had leased out,
until these leases end.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from .lease_records import LeaseKey
from .rendezvous import choose_holders
from .settings import LeaseSettings
from .slot_messages import SlotGrant, SlotMessage, SlotRelease, SlotRequest

# A granted slot is dropped after this many terms, when no duplicate of its request can arrive any more.
REMEMBERED_LEASE_TERMS: Final = 2
# A leased slot may stay unused for this many answer timeouts; the request that needs it waits for one.
MAX_UNUSED_ANSWER_TIMEOUTS: Final = 2


@dataclass(slots=True, eq=False)
class SlotLease:
    """The lessee's record of a slot that is leased from another gateway."""

    lessor: int  # gateway
    process: int  # of the lessor
    request_id: int
    end_ns: int
    used: bool = False


@dataclass(slots=True)
class GrantedSlot:
    """The lessor's record of its answer to a request."""

    granted_ns: int
    active: bool  # False if the request was rejected, or the slot is free again


class PendingSlotRequest(NamedTuple):
    """A request for a slot that has not been answered."""

    holder: int  # gateway
    requested_ns: int


@dataclass(slots=True)
class SlotAccount:
    """One customer's slots at this gateway."""

    customer: int
    plan: int
    gateways: tuple[int, ...]  # that serve the customer
    holders: tuple[int, ...]  # gateways that own slots
    own_slots: int
    used_slots: int = 0  # own slots occupied by requests of this gateway
    granted_leases: dict[LeaseKey, GrantedSlot] = field(default_factory=dict)
    leases: list[SlotLease] = field(default_factory=list)
    pending: dict[int, PendingSlotRequest] = field(default_factory=dict)  # by request id
    empty_until_ns: dict[int, int] = field(default_factory=dict)  # by holder: not asked before this time

    @property
    def leased_out_slots(self) -> int:
        """Own slots that are leased out."""
        return sum(granted.active for granted in self.granted_leases.values())

    @property
    def free_slots(self) -> int:
        """Own slots that may be used or leased out."""
        return self.own_slots - self.used_slots - self.leased_out_slots

    @property
    def is_idle(self) -> bool:
        """Whether the account has no state that is still needed."""
        return not (self.used_slots or self.granted_leases or self.leases or self.pending)

    def usable_lease(self, until_ns: int) -> SlotLease | None:
        """Returns an unused leased slot that lasts until `until_ns`; None if there is none."""
        for lease in self.leases:
            if not lease.used and lease.end_ns >= until_ns:
                return lease
        return None


class AcquiredSlot(NamedTuple):
    """The slot that a request in flight occupies."""

    account: SlotAccount
    lease: SlotLease | None  # None for an own slot


class SlotManager:
    """The slot accounts of one gateway, with both sides of its slot leases."""

    def __init__(
        self, settings: LeaseSettings, gateway: int, process: int, longest_ns: int, rng: random.Random
    ) -> None:
        """Starts without accounts.

        `process` is a number that no other process of this gateway has used; `longest_ns` is the longest
        deadline of a request.
        """
        self.settings = settings
        self.gateway = gateway
        self.process = process
        self.rng = rng
        self.lease_ns = longest_ns + settings.answer_timeout_ns
        self.accounts: dict[int, SlotAccount] = {}  # by customer
        self.outbox: list[SlotMessage] = []
        self.acquired_slots: dict[int, AcquiredSlot] = {}  # by request
        self.granted_slots = 0  # since the start
        self._last_request_id = rng.getrandbits(31)

    def account(self, customer: int, plan: int, limit: int, gateways: tuple[int, ...]) -> SlotAccount:
        """Returns a customer's account, creating it if needed; `limit` is the plan's limit."""
        account = self.accounts.get(customer)
        if account is None:
            holders = tuple(choose_holders(customer, gateways, min(limit, len(gateways))))
            own_slots = 0
            if self.gateway in holders:
                own_slots = limit // len(holders)
                own_slots += holders.index(self.gateway) < limit % len(holders)
            account = SlotAccount(customer, plan, gateways, holders, own_slots)
            self.accounts[customer] = account
        return account

    # ---- requests in flight

    def has_free_slot(self, account: SlotAccount, until_ns: int) -> bool:
        """Returns whether there is a slot for a request that is over by `until_ns`."""
        return account.free_slots > 0 or account.usable_lease(until_ns) is not None

    def acquire(self, account: SlotAccount, request: int, until_ns: int) -> None:
        """Assigns a slot to a request, until `release`; the caller has checked `has_free_slot`.

        Leased slots are used before own ones, as they expire.
        """
        lease = account.usable_lease(until_ns)
        if lease is None:
            account.used_slots += 1
        else:
            lease.used = True
        self.acquired_slots[request] = AcquiredSlot(account, lease)

    def release(self, request: int) -> None:
        """Frees the slot of a request that is over; does nothing if it has none."""
        slot = self.acquired_slots.pop(request, None)
        if slot is None:
            return
        if slot.lease is None:
            slot.account.used_slots -= 1
        else:
            self._release_lease(slot.account, slot.lease)

    def _release_lease(self, account: SlotAccount, lease: SlotLease) -> None:
        """Returns a leased slot to its lessor."""
        if lease in account.leases:
            account.leases.remove(lease)
            self.outbox.append(SlotRelease(lease.lessor, account.customer, lease.request_id, lease.process))

    # ---- as lessee

    def request_slot(self, now: int, account: SlotAccount) -> bool:
        """Requests a slot from a holder that may have one; returns whether an answer may bring it."""
        answer_wait_ns = self.settings.answer_timeout_ns
        if any(now - pending.requested_ns < answer_wait_ns for pending in account.pending.values()):
            return True
        candidates = [
            holder
            for holder in account.holders
            if holder != self.gateway and now >= account.empty_until_ns.get(holder, -1)
        ]
        if not candidates:
            return False
        holder = self.rng.choice(candidates)
        self._last_request_id = (self._last_request_id + 1) % 2**32
        account.pending[self._last_request_id] = PendingSlotRequest(holder, now)
        account.empty_until_ns[holder] = now + answer_wait_ns  # until it answers or the request times out
        self.outbox.append(
            SlotRequest(
                recipient=holder,
                customer=account.customer,
                plan=account.plan,
                set_size=len(account.gateways),
                first_gateway=account.gateways[0],
                request_id=self._last_request_id,
            )
        )
        return True

    def on_grant(self, now: int, sender: int, process: int, grant: SlotGrant) -> bool:
        """Handles the answer to a request of this process; returns whether it grants a slot."""
        account = self.accounts.get(grant.customer)
        if account is None or grant.process != self.process:
            return False
        pending = account.pending.pop(grant.request_id, None)
        if pending is None or pending.holder != sender:
            return False
        if not grant.granted:
            account.empty_until_ns[sender] = now + self.settings.backoff_ns
            return False
        account.empty_until_ns.pop(sender, None)
        end_ns = pending.requested_ns + self.lease_ns
        account.leases.append(SlotLease(sender, process, grant.request_id, end_ns))
        return True

    # ---- as lessor

    def on_request(
        self, now: int, sender: int, process: int, request: SlotRequest, account: SlotAccount
    ) -> None:
        """Answers a request; a duplicate gets the same answer, and no slot is granted twice."""
        key = LeaseKey(sender, process, request.request_id)
        granted = account.granted_leases.get(key)
        if granted is None:
            granted = GrantedSlot(now, account.free_slots > 0)
            account.granted_leases[key] = granted
            self.granted_slots += granted.active
        elif not granted.active:
            return  # a duplicate of a request that was rejected or whose lease has ended
        self.outbox.append(SlotGrant(sender, account.customer, request.request_id, granted.active, process))

    def on_release(self, sender: int, process: int, release: SlotRelease) -> None:
        """Handles the release of a slot by its lessee."""
        account = self.accounts.get(release.customer)
        if account is None or release.process != self.process:
            return
        granted = account.granted_leases.get(LeaseKey(sender, process, release.request_id))
        if granted is not None:
            granted.active = False

    # ---- time and messages

    def tick(self, now: int) -> None:
        """Expires leases and requests, releases unused leased slots, and drops idle accounts."""
        for customer, account in list(self.accounts.items()):
            self._expire_granted(now, account)
            self._release_unused(now, account)
            account.pending = {
                request_id: pending
                for request_id, pending in account.pending.items()
                if now - pending.requested_ns < self.lease_ns
            }
            if account.is_idle:
                del self.accounts[customer]

    def _expire_granted(self, now: int, account: SlotAccount) -> None:
        """Ends leases to others whose term is over, and drops those that ended long ago."""
        for key, granted in list(account.granted_leases.items()):
            age_ns = now - granted.granted_ns
            if age_ns >= self.lease_ns:
                granted.active = False
            if age_ns >= REMEMBERED_LEASE_TERMS * self.lease_ns:
                del account.granted_leases[key]

    def _release_unused(self, now: int, account: SlotAccount) -> None:
        """Releases leased slots that no request has used for some time."""
        for lease in [lease for lease in account.leases if not lease.used]:
            requested_ns = lease.end_ns - self.lease_ns
            if now - requested_ns >= MAX_UNUSED_ANSWER_TIMEOUTS * self.settings.answer_timeout_ns:
                self._release_lease(account, lease)

    def drain_messages(self) -> list[SlotMessage]:
        """Returns the queued messages and empties the queue."""
        drained = self.outbox
        self.outbox = []
        return drained
