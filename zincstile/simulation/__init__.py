"""Scenarios by seed: real gateways, emulators, faults and checkers on one virtual network.

    plan                 sizes, network settings and faults of a scenario: drawn from a seed, or a YAML file
    traffic              the clients' requests and their times, derived from the plan alone
    faults               how each kind of fault is injected, in any `environment`
    run                  one run on virtual time and its result; its state is in `virtual_environment`,
                         `virtual_backends` and `virtual_gateways`
    observation          observers of the virtual network
    leftovers            what a gateway still holds at the end of a run
    sweep                plays many seeds in many processes
    shrink               reduces a failing plan to a minimal one that breaks the same rule
    mutants              deliberate faults of the gateway, to verify that the checkers detect them

This package is layered above `net`, `virtual`, `emulators` and `checkers` and may import them all. It uses
the file system only in `plan` and processes only in `sweep`. It needs msgspec and PyYAML (`pip install
'.[sim]'`).
"""
