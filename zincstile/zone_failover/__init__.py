"""Zones and regions: which part of each zone's traffic goes to which zone, decided in common. No I/O, no
clock; `net/place` carries the words. docs/place.md weighs the ways and derives the bounds.

`settings` what an operator writes, `flows` the table from a view, `states` a zone's state with hysteresis,
`terms` who may propose, `view` what gateways tell of zones, `module` the decision module with zones' weights.
"""
