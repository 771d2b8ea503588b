"""Scale measurements: how cost grows with the size of the fleet, one dimension at a time.

`topology` describes a fleet, `records` holds what was measured; `emulators`, `real` and `hollow` run gateways
among emulated surroundings, and `slopes` drives them through sizes and repeats. The command is
`python -m zincstile scale`.
"""
