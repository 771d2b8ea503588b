"""Limits on a customer's requests in flight: whole slots that have one owner each and are leased to others.

A plan's limit is split among a customer's holders in whole slots, so that they sum up to it under any
partition. A request holds a slot from its decision until it is over. A gateway that has none free requests
one of another holder. The lease lasts for the longest deadline and `answer_timeout_ns` from its request, and
is used only for a request whose client gives up before that. So the lessor, which counts from its answer, may
use the slot again after that time without a message; a release brings it back earlier.

What may be in flight beyond a limit: after the restart of a lessor, the slots that it had leased out, until
these leases end. Nothing else.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from .lease_records import LeaseKey
from .rendezvous import choose_holders
from .settings import LeaseSettings
from .slot_messages import SlotGrant, SlotMessage, SlotRelease, SlotRequest

REMEMBERED_LEASE_TERMS: Final = (
    2  # until an ended lease is forgotten: no duplicate of its request comes later
)
UNUSED_ANSWER_WAITS: Final = 2  # that a leased slot may stay unused: the request that needs it waits for one


@dataclass(slots=True, eq=False)
class SlotLease:
    """A slot of another gateway's, as its lessee keeps it."""

    lessor: int  # gateway
    process: int  # of the lessor
    request_id: int
    end_ns: int
    used: bool = False


@dataclass(slots=True)
class GrantedSlot:
    """The answer to a request as its lessor keeps it; not active: the slot was rejected or is free again."""

    granted_ns: int
    active: bool


class PendingSlotRequest(NamedTuple):
    """A request for a slot that is not answered yet."""

    holder: int  # gateway
    requested_ns: int


@dataclass(slots=True)
class SlotAccount:
    """One customer's slots at this gateway."""

    customer: int
    plan: int
    gateways: tuple[int, ...]  # the customer's gateways
    holders: tuple[int, ...]  # those that hold slots
    own_slots: int
    used_slots: int = 0  # of the own ones
    granted_leases: dict[LeaseKey, GrantedSlot] = field(default_factory=dict)
    leases: list[SlotLease] = field(default_factory=list)
    pending: dict[int, PendingSlotRequest] = field(default_factory=dict)  # by request id
    empty_until_ns: dict[int, int] = field(default_factory=dict)  # by holder: it has no slot free until then

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
        """Whether the account may be forgotten."""
        return not (self.used_slots or self.granted_leases or self.leases or self.pending)

    def usable_lease(self, until_ns: int) -> SlotLease | None:
        """Returns a leased slot for a request that is over by then; None where there is none."""
        for lease in self.leases:
            if not lease.used and lease.end_ns >= until_ns:
                return lease
        return None


class AcquiredSlot(NamedTuple):
    """The slot of a request in flight."""

    account: SlotAccount
    lease: SlotLease | None  # None: an own slot


class SlotManager:
    """The slots of one gateway."""

    def __init__(
        self, settings: LeaseSettings, gateway: int, process: int, longest_ns: int, rng: random.Random
    ) -> None:
        """Starts without accounts.

        `process` is a number that no other process of this gateway had; `longest_ns` is the longest deadline
        of a request.
        """
        self.settings = settings
        self.gateway = gateway
        self.process = process
        self.rng = rng
        self.lease_ns = longest_ns + settings.answer_timeout_ns
        self.accounts: dict[int, SlotAccount] = {}  # by customer
        self.outbox: list[SlotMessage] = []
        self.acquired_slots: dict[int, AcquiredSlot] = {}  # by request
        self.granted_slots = 0  # so far
        self._last_request_id = rng.getrandbits(31)

    def account(self, customer: int, plan: int, limit: int, gateways: tuple[int, ...]) -> SlotAccount:
        """Returns a customer's account, made where there is none; `limit` is the plan's."""
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
        """Returns whether there is a slot for a request that is over by then."""
        return account.free_slots > 0 or account.usable_lease(until_ns) is not None

    def acquire(self, account: SlotAccount, request: int, until_ns: int) -> None:
        """Gives the request a slot until `release`, after `has_free_slot`; a leased one first, as it ends."""
        lease = account.usable_lease(until_ns)
        if lease is None:
            account.used_slots += 1
        else:
            lease.used = True
        self.acquired_slots[request] = AcquiredSlot(account, lease)

    def release(self, request: int) -> None:
        """Takes back the slot of a request that is over; nothing happens where it held none."""
        held = self.acquired_slots.pop(request, None)
        if held is None:
            return
        if held.lease is None:
            held.account.used_slots -= 1
        else:
            self._release_lease(held.account, held.lease)

    def _release_lease(self, account: SlotAccount, lease: SlotLease) -> None:
        """Gives a leased slot back to its lessor."""
        if lease in account.leases:
            account.leases.remove(lease)
            self.outbox.append(SlotRelease(lease.lessor, account.customer, lease.request_id, lease.process))

    # ---- as a lessee

    def request_slot(self, now: int, account: SlotAccount) -> bool:
        """Requests a slot of one holder that may have one; returns whether an answer may bring it."""
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
        account.empty_until_ns[holder] = now + answer_wait_ns  # unless it answers
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
        """Takes the answer to a request of this process; returns whether it brings a slot."""
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

    # ---- as a lessor

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
            return  # a duplicate of a request that was rejected, or whose lease is over
        self.outbox.append(SlotGrant(sender, account.customer, request.request_id, granted.active, process))

    def on_release(self, sender: int, process: int, release: SlotRelease) -> None:
        """Takes back a slot that its lessee released."""
        account = self.accounts.get(release.customer)
        if account is None or release.process != self.process:
            return
        granted = account.granted_leases.get(LeaseKey(sender, process, release.request_id))
        if granted is not None:
            granted.active = False

    # ---- time and messages

    def tick(self, now: int) -> None:
        """Lets expire what has ended, and gives back leased slots that are not used."""
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
        """Ends leases to others whose time is up, and forgets those that ended long ago."""
        for key, granted in list(account.granted_leases.items()):
            age_ns = now - granted.granted_ns
            if age_ns >= self.lease_ns:
                granted.active = False
            if age_ns >= REMEMBERED_LEASE_TERMS * self.lease_ns:
                del account.granted_leases[key]

    def _release_unused(self, now: int, account: SlotAccount) -> None:
        """Gives back leased slots that no request took for some time."""
        for lease in [lease for lease in account.leases if not lease.used]:
            requested_ns = lease.end_ns - self.lease_ns
            if now - requested_ns >= UNUSED_ANSWER_WAITS * self.settings.answer_timeout_ns:
                self._release_lease(account, lease)

    def drain_messages(self) -> list[SlotMessage]:
        """Returns the messages to send, each once."""
        drained = self.outbox
        self.outbox = []
        return drained
