"""Zone failover: the gateways agree which share of each zone's traffic goes to which zone.

No I/O and no clock; `net` sends and receives the datagrams. docs/place.md compares the alternatives and
derives the bounds.

- `settings`: what an operator configures
- `messages`, `codec`: the messages between gateways, and their encoding as datagrams
- `routing_weights`: computes the routing weights from the load and capacity of each zone
- `zone_states`: the state of one zone, with hysteresis
- `zone_view`: merges the reports of all gateways
- `leader_terms`: which gateway may propose a routing table, and which table is valid
- `agreement`: one gateway's participation in reports, elections and routing tables
- `zone_health`: what this gateway observes of each zone
- `zone_capacity`: the capacity of zones, estimated from this gateway's concurrency limit
- `feature`, `events`: the policy feature that routes by the agreed weights, and its events and actions
- `zone_description`: the description of zones for operators
"""
