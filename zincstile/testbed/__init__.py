"""Several real processes of the program on loopback, and faults between them.

    places      addresses of 127.0.0.0/8 by which it is known who speaks to whom
    datagrams   the relay between gateways, with the faults of each path
    fault_proxy the same for connections to the emulated services
    programs    the processes: started, signalled, ended, none left behind
    probe       what the checkers and the charts observe
    members     who takes part: gateways with their processes, fake backends with their entries
    testbed     the state of one run, and the small tools that its parts share
    emulated    backends, discovery's list and quota services: started, stopped, disturbed
    gateways    the gateways: configured, started, signalled, upgraded, their logs read
    run         one run of a plan, by the same faults as on virtual time (`simulation.faults`)
    summary     gathers what came of a run
    result      what came of it, as values and JSON
    report      a page with charts; results of two versions side by side
    sweep       many runs of drawn faults

The programs are unchanged: the very line that `deploy/balancer.toml` starts. docs/field.md has the ways
weighed, and how to write a plan.
"""
