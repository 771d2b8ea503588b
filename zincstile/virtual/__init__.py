"""Virtual time, machines and network: asyncio code runs here by seed, unchanged.

One `Scheduler` (`clock`) holds all calls that will happen, in order of time and then of being scheduled. A
`Process` is a program on a machine of its own: it has an event loop (`loop.VirtualLoop`), descriptors,
signals, pauses and an end. Processes meet on a `Network` of TCP (`tcp`) and UDP (`udp`), which delays,
splits, holds back, loses and breaks what they send, by draws from one random source. `network_faults` holds
the faults that a plan injects on the paths between named places.

Imports go one way: `clock`, `network_faults`, `network`, `base_process` (a process without its loop), `tcp`,
`tcp_listen`, `tcp_connect` and `udp`, `loop`, `process`, `host`.

This package touches nothing outside it: no wall clock, no socket, no thread, no file. It imports the standard
library, and of zincstile only `net.host` and `net.config`, whose place `host.VirtualHost` takes. It knows
nothing of gateways, RESP or rules: those stand above it, in `simulation`.
"""
