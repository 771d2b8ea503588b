"""Deterministic subsetting: selects the endpoints of each service that one gateway uses. No I/O, no clock.

- `settings`: the size of a subset, the zones it is taken from, and when it is widened
- `placement`: position and size of a gateway's slice of a ring, as pure functions
- `fleet`: the gateways that share the endpoints of a zone
- `rings`: all endpoints, and a ring of the ready ones for each service and zone
- `selection`: the slices of all services
- `widening`: how far a slice is widened while its endpoints are unhealthy
- `departed_endpoints`: scores of endpoints that left the subset
- `feature`: the policy feature, which passes on only the endpoints of the subset

docs/subset.md describes the method and compares it with others.
"""
