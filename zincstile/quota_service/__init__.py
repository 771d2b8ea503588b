"""Quotas through a count keeper, with an error that is stated beforehand. No I/O, no clock.

    settings   times, sizes, and which failures a bound has to cover
    bound      the most that all gateways together can send beyond a quota, for each failure, in units
    view       what a gateway believes of its keeper and of whom else that keeper counts
    accounts   leases of allowance, taken from the keeper ahead of need; the even part where there is none
    module     the decision module with its quotas held so, and the events and actions that it needs besides
    words      what gateways tell each other of their keeper, packed

The keeper is the counter of PROTOCOL: it adds an amount to a named number and tells the total. It may
answer late, never, or with no number; it may vanish, be split in two that both answer, or be replaced by
an empty one. docs/keeper.md derives the bound. This package touches nothing: times are handed in, calls
come back as values.
"""
