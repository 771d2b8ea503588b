"""The start of hundreds of gateways at once: calls to the list service that can't collapse, lists from peers
that have one, when a gateway says that it is ready, and the way up to full admission. No I/O, no clock;
`net/start` carries the words. docs/cold-start.md derives the figures.
"""
