"""Emulators of everything that a gateway speaks with, written from the published protocol alone.

- `backend`: backends, with cores, a queue, a warm-up and corrupt answers
- `discovery`, `list_service`: the endpoint list, pushed by an agent or polled from one service
- `quota_service`: the quota service
- `clients`, `client_connection`: clients behind their load balancer
- `misbehaving_client`: clients that send what the protocol does not have
- `codec`: RESP2 and HTTP/1.1, read and written without the gateway's parsers, since the same
  misreading on both sides would hide a fault
- `observer`: the interface that is notified of what the emulators see; the checkers implement it

All are ordinary asyncio protocols: they run on the virtual network and on real loopback alike, on the loop
that is handed to them. The package uses asyncio's loop and transports and imports nothing else of zincstile.
"""
