"""Whole worlds by seed: real gateways, stand-ins, faults and checkers on one virtual network.

    plan      what a world holds and what goes wrong in it: drawn from a seed, printable, writable by hand
    traffic   who asks what and when, from the plan alone
    faults    how each kind of fault is carried out
    world     puts the parts together, runs them step by step under the checkers, and tells the result
    sweep     many seeds over many processes
    shrink    a failing plan to a smallest one that breaks the same rule
    mutants   deliberate faults of the gateway, to see that the checkers name them

This package stands above `net`, `virtual`, `standin` and `rules` and may import them all; of the system
it touches files and processes in `plan` and `sweep` only. It needs msgspec and PyYAML (`pip install
'.[sim]'`).
"""
