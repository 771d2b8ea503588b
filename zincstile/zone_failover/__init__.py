"""Zone failover: the gateways agree which part of each zone's traffic goes to which zone.

No I/O and no clock; `net` sends and receives the datagrams. docs/place.md weighs the alternatives and derives
the bounds.

- `settings`: what an operator configures
- `messages`, `codec`: what gateways send each other, and its datagrams
- `routing_weights`: the weights that follow from what is known of each zone
- `zone_states`: the state of one zone, with hysteresis
- `zone_view`: the reports of all gateways, merged
- `leader_terms`: who may propose a routing table, and which table holds
- `agreement`: one gateway's part in all of this
- `zone_health`: what this gateway sees of each zone
- `zone_capacity`: what zones can take, by this gateway's concurrency limit
- `feature`, `events`: what joins a policy: routing by the agreed weights, and its events and actions
- `zone_description`: the text about zones for operators
"""
