"""State shared between gateways by leases, which stays within stated bounds under any network partition.

    settings             times, sizes, and the failures that the bounds have to cover
    overshoot_bound      how many units can be sent beyond a quota, under each failure
    lease_manager        the customers' quotas at one gateway, and both sides of its leases:
        lessee             requests units from other gateways' parts of a quota
        lessor             grants units from this gateway's part
        quota_account      one customer's units, own and leased
        lease_state        state common to both sides; its records are in `lease_records`
        running_clock      counts the time for which the process was running
    rendezvous           chooses the gateways that hold a part of a quota
    slots                limits a customer's requests in flight, by leases of whole slots
    failure_detector     suspicions of backend endpoints, from own attempts and from observers in other zones
    concurrency_budget   limits the units that all gateways together have in flight
    lease_messages, slot_messages, codec
                         the messages between gateways, and their encoding as datagrams
    covered_plans        plans whose quota alone keeps customers below the plan's ceiling
    leased_units         reserves units and slots for requests
    suspected_endpoints  passes suspicions to the outlier detection
    in_flight_limit      keeps attempts within the concurrency budget
    message_receiver     passes messages from peers to the parts that handle them
    feature, events      connects the package to a policy: its quotas, events and actions

The package does no I/O and reads no clock: times are passed in, and messages are returned as values.
docs/shared.md derives the bounds and compares the alternatives. `features.shared: deploy/shared.yaml`
switches the feature on.
"""
