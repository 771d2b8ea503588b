"""Checkers of the rules, without I/O: they observe the traffic of a run and report each violation of a rule.

`checker.Checker` implements `emulators.observer.Observer`. It keeps the history of each request (`history`),
records `violations`, and calls the modules of single rules: `answer_deadlines`, `repeats`, `drains`,
`maintenance`, `cold_starts`, `ceilings`, `quotas`. `rules` defines the rules and their limits:

    answer       each request gets exactly one final answer, in time, on its connection and in command order
    value        a served value was produced by a backend for that same request
    repeat       an attempt that may have run is repeated only if the request class allows it
    drain        no new attempt at a backend 250 ms after the gateway was notified that it drains or is gone
    cold         all gateways together send a just-started backend no more work than its capacity allows
    cold_calls   the same in calls of mean work, as the standing test counts: at most N + 2 x sqrt(N) + 2
    ceiling      all gateways together forward no more than a plan's ceiling, for each customer
    foreign      backends and discovery get only messages that their protocol defines
    resources    descriptors within the limit; all resources released at the end; no exception
    quota        with a bound: all gateways together exceed a customer's quota by no more than the bound
    left         no attempt begins 0.1 s or more after its client has disconnected
    deadline     a backend is given no more time than the client has left, plus 0.15 s of slack
    maintenance  no new attempt at a backend after the gateway confirmed its maintenance, until that ends
    invariant    the gateway's own checks (`net.invariants`) have counted no violation
    ready        with real processes: each running process is ready within the time allowed for a start
    progress     the event loop makes progress: no callback reschedules itself at once for ever

The checkers read no clock, do no I/O and don't depend on the gateway's code: the limits come from PROTOCOL
and the settings, and the caller provides the clock of the run.
"""
