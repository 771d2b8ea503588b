"""Checkers of the rules, without I/O: fed with what really crossed the network, they name what broke.

`checker.Checker` implements `emulators.observer.Observer`. It keeps the history of each request (`history`),
records `violations`, and asks the modules of single rules: `answer_deadlines`, `repeats`, `drains`,
`maintenance`, `cold_starts`, `ceilings`, `quotas`. `rules` names the rules and holds their limits:

    answer       exactly one final answer, in time, on the connection and in the order of the commands
    value        what is served is what a backend produced for that very request
    repeat       nothing that may have run is sent again unless its class allows it
    drain        nothing new to a backend 250 ms after the gateway was notified that it drains or is gone
    cold         no just-started backend is sent more than it can do, by all gateways together
    cold_calls   the same in calls of the mean work, as the standing test counts: N + 2 x root of N + 2
    ceiling      all gateways together forward no more than a plan's ceiling, for each customer
    foreign      nothing goes to a backend or to discovery that their protocol does not have
    resources    descriptors within the limit; nothing left over at the end; no exception
    quota        where a bound is stated: what all forward for a customer exceeds its quota by no more
    left         nothing of a request begins 0.1 s after its client has disconnected
    deadline     a backend is given no more time than the client has left, with 0.15 s of slack
    maintenance  nothing new to a backend that the gateway confirmed to be under maintenance, until its end
    invariant    the gateway's own checks (`net.invariants`) have counted nothing
    ready        between real processes: whoever runs is ready within the time that a start may take
    progress     nothing asks to be called at once, for ever

Nothing here reads a clock, opens anything, or knows of the gateway's code: the limits come from PROTOCOL and
the settings, and the clock of the run is handed in.
"""
