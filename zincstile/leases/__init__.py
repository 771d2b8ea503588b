"""State that gateways share, and that stays within stated bounds whichever of them can't reach each other.

    settings             times, sizes, and the failures that a bound has to cover
    overshoot_bound      the most units that may go out beyond a quota, for each failure
    lease_manager        the customers' quotas at one gateway; its two sides of leases:
        lessee             requests units of other gateways' parts
        lessor             grants units of the own part
        quota_account      one customer's units, own and leased
        lease_state        what both sides have in common; records in `lease_records`
        running_clock      the time for which the process was observed to run
    rendezvous           which gateways of a set hold a part
    slots                limits on a customer's requests in flight, by leases of whole slots
    failure_detector     suspicions of backend servers, by own attempts and by observers in other zones
    concurrency_budget   the units that all gateways together may have in flight
    lease_messages,
    slot_messages, codec the messages between gateways, and their datagrams
    covered_plans        which plans' quotas hold their ceiling too
    leased_units         units and slots, reserved for requests
    suspected_endpoints  what the suspicions mean to outlier detection
    in_flight_limit      no attempt beyond the concurrency budget
    message_receiver     hands the peers' messages to their owners
    feature, events      what joins a policy: its shared state held so, its events and actions

No I/O and no clock: times are handed in, messages are returned. docs/shared.md derives the bounds and says
which ways were weighed. Switched on by `features.shared: deploy/shared.yaml`.
"""
