"""Stand-ins for all that a gateway speaks with, by the published protocol and nothing else.

Guide boxes (`guidebox`), discovery (`discovery`), the count keeper (`counter`) and clients behind their front
(`clients`), as ordinary asyncio protocols: they run on the virtual network and on real loopback alike, by the
loop that they are handed. They read and write the wire by themselves (`wire`): the gateway's parsers are not
used, since a misreading on both sides would hide a fault. What they see is told to a `witness`, which the
checkers of `rules` stand behind.

This package touches asyncio's loop and transports, and imports nothing else of zincstile.
"""
