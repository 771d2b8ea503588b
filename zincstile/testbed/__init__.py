"""Several real processes of the program on loopback, and faults between them.

    places      addresses of 127.0.0.0/8 that identify both ends of each connection
    datagrams   the relay for datagrams between gateways, with the faults of each path
    fault_proxy relays connections to the emulated services, with the faults of each path
    programs    starts, signals and ends processes, and leaves none behind
    probe       passes events to the checkers and counts them for the charts
    members     gateways with their processes, and fake backends with their endpoint entries
    testbed     the state of one run, and the helpers that its parts share
    emulated    starts, stops and disturbs backends, the endpoint list and quota services
    gateways    configures, starts, signals and upgrades gateways, and reads their logs
    run         plays one plan, with the same faults as on virtual time (`simulation.faults`)
    summary     builds the result of a run
    result      the result as values and JSON
    report      a page with charts, also of several results side by side
    sweep       many runs with drawn faults

The processes run the unchanged program, started as in `deploy/balancer.toml`. docs/field.md compares the
possible designs and describes how to write a plan.
"""
