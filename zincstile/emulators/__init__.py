"""Emulators of all systems that a gateway communicates with, written from the published protocol alone.

- `backend`: backends, with cores, a queue, a warm-up and corrupt answers
- `discovery`, `list_service`: the endpoint list, pushed by an agent or polled from one service
- `quota_service`: the quota service
- `clients`, `client_connection`: clients behind their load balancer
- `misbehaving_client`: clients that violate the protocol
- `codec`: RESP2 and HTTP/1.1, implemented apart from the gateway's parsers, since a misreading shared by both
  sides would hide a fault
- `observer`: the interface that is notified of what the emulators see; the checkers implement it

All are ordinary asyncio protocols: they run both on the virtual network and on the real loopback interface,
on the loop that is passed to them. The package imports nothing else of zincstile.
"""
