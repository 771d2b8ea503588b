"""Virtual time, machines and network, on which unmodified asyncio code runs deterministically from a seed.

One `Scheduler` (`clock`) holds all scheduled calls, ordered by time and then by when they were scheduled. A
`Process` is a program on a machine of its own: it has an event loop (`loop.VirtualLoop`), descriptors and
signals, and can be paused and killed. Processes communicate over a `Network` with TCP (`tcp`) and UDP
(`udp`), which delays, splits, blocks, loses and resets traffic; all randomness comes from one random source.
`network_faults` holds the faults that a simulation plan injects on the paths between named participants.

Modules import only modules before them in this order: `clock`, `network_faults`, `network`, `base_process`
(a process without its loop), `tcp`, `tcp_listen`, `tcp_connect` and `udp`, `loop`, `process`, `host`.

This package uses no wall clock, socket, thread or file. It imports the standard library, and of zincstile
only `net.host` and `net.config`: `host.VirtualHost` is a drop-in replacement for `net.host.Host`. Gateways,
RESP and the checked rules belong to `simulation`, which builds on this package.
"""
