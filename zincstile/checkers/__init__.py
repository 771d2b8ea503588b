"""Checkers of the rules, without I/O: fed with what really crossed the network, they name what broke.

`checker.Checker` hears everything and hands it to a checker for each rule:

    answer     exactly one final answer, in time, on the connection and in the order of the commands
    value      what is served is what a guide box made for that very request
    repeat     nothing that may have run goes out again unless its class allows it
    drain      nothing new to a box 250 ms after the gateway was told that it drains or is gone
    cold       no just-started box is sent more than it bears, by all gateways together
    cold_calls the same in calls of the mean work, as the standing test counts: N + 2 x root of N + 2
    ceiling    all gateways together send on no more than a plan's ceiling, for each customer
    foreign    nothing goes to a guide box or to discovery that their protocol does not have
    resources  descriptors within the limit; nothing left over at the end; no exception
    quota      where a bound is stated: what all send on for a customer passes its quota by no more than that
    left       nothing of a request begins 0.1 s after its client has left
    deadline   a box is told no more time than the client has left, with 0.15 s of slack
    maintenance  nothing new to a box that the gateway said yes to taking out, until it is put back
    invariant  the gateway's own checks (`net.invariants`) have counted nothing
    ready      between real processes: whoever runs is ready within the time that a start may take
    progress   nothing asks to be called at once, for ever

Nothing here reads a clock, opens anything, or knows of the gateway's code: the numbers come from PROTOCOL
and the settings, and the clock of the run is handed in.
"""
