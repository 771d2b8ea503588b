"""Deterministic subsetting: which endpoints of each service one gateway uses. No I/O, no clock.

    settings             the size of a subset, the zones it comes from, and when it is widened
    placement            where a gateway's slice of a ring begins, and how long it is: pure functions
    fleet                which gateways share a zone's endpoints
    rings                all endpoints, and a ring of the ready ones for each service and zone
    selection            the slices of all services
    widening             how far a slice is widened while its endpoints are unhealthy
    departed_endpoints   what was learned of endpoints that left the subset
    feature              what joins a policy: it gets the endpoints of the subset alone

docs/subset.md describes the method, and the ones that were compared with it.
"""
