"""The customers' quotas at one gateway, held by parts with one owner each and leases between the parts.

Each of a customer's holders has an even part of the quota: a token bucket of `burst / holders` that fills at
`rate / holders`. No gateway has to be reached for that, and no clocks are compared: the parts sum up to the
quota under any partition. Units that one part lacks and another has are leased:

* The lessor takes them out of its token bucket first, then sends the grant. A grant that is lost loses the
  units, and no two gateways have them.
* A lease ends `lease_ns` after it was requested, by the lessee's clock. By the lessor's clock it ends later,
  as it was granted later than it was requested. So both know the end without a message, and no two clocks
  are compared.
* While a lease runs, the lessor's token bucket fills only up to its part less the lease. So token buckets and
  leases together never hold more than the burst, whatever is lost, late, duplicated or out of order.
* Units that are not used go back while the lease runs, by a message that releases it. A released or expired
  lease is over for good: its name is the lessee's process and a number that this uses once.
* A token bucket fills by the time for which its process was observed to run (`RunningClock`): one that was
  stopped gains nothing for it, as what it decided before it was stopped may be sent afterwards.

A gateway that messages do not reach is not lent to: a request names the last answer that arrived, and while
a grant is out that should have arrived by now, requests are rejected.
"""

from __future__ import annotations

import random

from ..decisions.quota_bounds import Quota
from .lease_messages import NEGLIGIBLE_UNITS, LeaseMessage
from .lease_state import LeaseState
from .lessee import Lessee
from .lessor import Lessor
from .overshoot_bound import batch_limit_units, holder_count, initial_fill_ratio
from .quota_account import QuotaAccount
from .rendezvous import choose_holders
from .running_clock import RunningClock
from .settings import SECOND_NS, LeaseSettings


class LeaseManager:
    """The quota accounts of one gateway, with its two sides of leases, `lessee` and `lessor`.

    Times are nanoseconds of this machine's monotonic clock.
    """

    def __init__(
        self, settings: LeaseSettings, gateway: int, process: int, now: int, rng: random.Random
    ) -> None:
        """Starts without accounts; `process` is a number that no other process of this gateway had."""
        clock = RunningClock(settings.max_tick_gap_ns)
        clock.observe(now)
        self.settings = settings
        self.state = LeaseState(settings, gateway, process, clock)
        self.accounts = self.state.accounts
        self.lessee = Lessee(self.state, rng)
        self.lessor = Lessor(self.state)

    # ---- accounts

    def account(
        self, now: int, customer: int, plan: int, quota: Quota, gateways: tuple[int, ...]
    ) -> QuotaAccount:
        """Returns a customer's account, made where there is none."""
        return self.accounts.get(customer) or self._open_account(now, customer, plan, quota, gateways)

    def _open_account(
        self, now: int, customer: int, plan: int, quota: Quota, gateways: tuple[int, ...]
    ) -> QuotaAccount:
        """Makes an account whose token bucket is as if it had been there since the start of the process."""
        state = self.state
        chosen = tuple(choose_holders(customer, gateways, holder_count(quota, self.settings)))
        part_ratio = 1 / len(chosen) if state.gateway in chosen else 0.0
        capacity_units = quota.burst * part_ratio
        rate_per_s = quota.rate * part_ratio
        running_ns = state.clock.observe(now)
        initial_units = initial_fill_ratio(quota, self.settings) * capacity_units
        account = QuotaAccount(
            customer=customer,
            plan=plan,
            quota=quota,
            gateways=gateways,
            holders=chosen,
            capacity_units=capacity_units,
            rate_per_s=rate_per_s,
            batch_limit_units=batch_limit_units(quota, self.settings),
            own_units=min(capacity_units, initial_units + rate_per_s * running_ns / SECOND_NS),
            filled_ns=running_ns,
            used_ns=now,
        )
        self.accounts[customer] = account
        return account

    def drop_idle_accounts(self, now: int, idle_ns: int) -> None:
        """Drops accounts that were not used for so long and of which nothing needs to be remembered."""
        for account in list(self.accounts.values()):
            if now - account.used_ns > idle_ns and self._is_forgettable(now, account):
                del self.accounts[account.customer]
                self.state.expiring.pop(account.customer, None)

    def _is_forgettable(self, now: int, account: QuotaAccount) -> bool:
        """Returns whether an account that is made anew would be the same."""
        account.refill(self.state.clock.observe(now))
        return not account.has_leases and account.is_full

    # ---- units

    def reserve(self, now: int, account: QuotaAccount, units: float) -> bool:
        """Takes the units of an attempt; returns False, and takes nothing, where they are not there."""
        account.refill(self.state.clock.observe(now))
        if account.own_units + account.usable_leased_units(now) + NEGLIGIBLE_UNITS < units:
            return False
        account.spend(units)
        if account.leases:
            self.lessee.release_used_up(account)
        account.record_use(now, units)
        return True

    def cancel_reservation(self, now: int, account: QuotaAccount) -> None:
        """Undoes the last `reserve` in the same batch: its attempt is not sent."""
        account.refill(self.state.clock.observe(now))
        account.undo_last_spend()

    def charge(self, now: int, account: QuotaAccount, units: float) -> None:
        """Takes the units by which an attempt was larger than reserved for; below 0: it was smaller."""
        account.refill(self.state.clock.observe(now))
        account.credit(-units)

    def available_units(self, now: int, account: QuotaAccount) -> float:
        """Returns the units that could still be sent from here: own and leased ones."""
        account.refill(self.state.clock.observe(now))
        account.drop_expired_leases(now)
        return account.own_units + account.leased_units()

    # ---- time and messages

    def tick(self, now: int) -> None:
        """Lets expire what has ended, and gives back leases that will not be used in time."""
        state = self.state
        state.clock.observe(now)
        state.outbox.flush_releases()
        for customer in list(state.expiring):
            account = self.accounts.get(customer)
            if account is None:
                del state.expiring[customer]
                continue
            self.lessee.expire_requests(now, account)
            account.refill(state.clock.observe(now))
            self.lessor.expire(now, account)
            account.drop_expired_leases(now)
            self.lessee.release_unneeded(now, account)
            if not account.has_leases:
                del state.expiring[customer]

    def drain_messages(self) -> list[LeaseMessage]:
        """Returns the messages to send, each once."""
        return self.state.outbox.drain()

    def snapshot(self, now: int) -> dict[str, float]:
        """Returns the figures for the log: accounts, units of each kind, and requests."""
        accounts = self.accounts.values()
        counters = self.state.counters
        leased_units = sum(
            lease.units for account in accounts for lease in account.leases if lease.end_ns > now
        )
        return {
            "purses": len(accounts),
            "own": round(sum(account.own_units for account in accounts), 2),
            "hand": round(leased_units, 2),
            "lent": round(sum(account.leased_out_units for account in accounts), 2),
            "loans": counters.grants,
            "asks": counters.requests,
            "unanswered": counters.overdue_requests,
        }
