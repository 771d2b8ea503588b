"""Quotas held through a quota service, with an error bound that is stated beforehand. No I/O, no clock.

    settings          intervals, timeouts, and which failures a bound has to cover
    overshoot_bound   the most that all gateways together can send beyond a quota, for each failure, in units
    messages          a call to one of the service's counters; the heartbeat that gateways send each other
    codec             that heartbeat as a datagram
    failure_detector  whether a gateway trusts its quota service
    peers             which peers use the same service
    account           what a gateway knows of one customer
    accounts          leases of units, taken from the service ahead of need; the even part where there is none
    opening_level     the units with which an epoch opens, from the totals of the epochs before
    feature, events   what joins a policy: its quotas held so, its events and actions

The quota service is the counter of PROTOCOL: it adds an amount to a named counter and returns the total. It
may answer late, never, or with no number; it may vanish, be split in two that both answer, or be replaced by
an empty one. docs/keeper.md derives the bound. This package does no I/O: times are handed in, calls are
returned as values.
"""
