"""State that gateways share, and that stays within stated bounds while part of them hears nothing.

    settings   times, sizes, and which failures a bound has to cover
    bound      the most that may go out beyond a quota, for each failure, in units; today's rule beside it
    lease_manager  each gateway's part of a quota, and units lent between parts
               (its messages, records and clock: `lease_messages`, `lease_records`, `running_clock`)
    rendezvous which gateways of a set hold a part
    slots      the same for the attempts that a plan may have out at once, whole ones
    failure_detector     judgements on backend servers: evidence with origin and age, and who may be believed
    concurrency_budget     budgets: what all gateways together may have out at the back end
    codec      what gateways tell each other of it, packed
    module     the decision module with its shared state held so

No I/O, no clock: times are handed in, words come back as values. docs/shared.md derives the bounds and
says which ways were weighed. Switched on by `features.shared: deploy/shared.yaml`.
"""
