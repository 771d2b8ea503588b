"""Enforces customer quotas through an external quota service, with a stated bound on the overshoot.

    settings          intervals, timeouts, and the failures that the bounds have to cover
    overshoot_bound   how many units all gateways together can send beyond a quota, under each failure
    messages          calls to the service's counters, and the heartbeats between gateways
    codec             encodes these heartbeats as datagrams
    failure_detector  decides whether a gateway trusts its quota service
    peers             decides which peers use the same service
    account           one customer's units and epochs at a gateway
    accounts          leases units from the service ahead of need; falls back to an equal part without it
    carry_over        the unused units that an epoch carries over from earlier epochs
    feature, events   connects the package to a policy: its quotas, events and actions

The quota service adds an amount to a named counter and returns the total, as PROTOCOL specifies. It may
answer late, never, or with something that is not a number. It may become unreachable, be replaced by an empty
service, or be split in two services that both answer. docs/keeper.md derives the bound. The package does no
I/O and reads no clock: times are passed in, and calls are returned as values.
"""
