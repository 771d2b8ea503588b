"""Scenarios by seed: real gateways, emulators, faults and checkers on one virtual network.

    plan                 what a scenario holds and what goes wrong in it: drawn from a seed, or a YAML file
    traffic              who requests what and when, from the plan alone
    faults               how each kind of fault is carried out, in any `environment`
    run                  one run on virtual time and what came of it; its state: `virtual_environment`,
                         `virtual_backends` and `virtual_gateways`
    observation          what is read off the virtual network
    leftovers            what a gateway still holds at the end
    sweep                many seeds over many processes
    shrink               a failing plan to a smallest one that breaks the same rule
    mutants              deliberate faults of the gateway, to see that the checkers name them

This package stands above `net`, `virtual`, `emulators` and `checkers` and may import them all; of the system
it touches files and processes in `plan` and `sweep` only. It needs msgspec and PyYAML (`pip install
'.[sim]'`).
"""
