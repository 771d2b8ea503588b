"""Attempts that stay without an answer though the back end is well: resting connections, expired sends."""

from conftest import MS, SECOND, Gateway, only

from zincstile.decisions.messages import AttemptResult, CloseIdleConnections, ForwardRequest, RejectRequest


def rest(g, result, latency=50 * MS):
    """One request after a pause of three seconds; whether its backend's connections were closed before."""
    rid, acts = g.ask(cls=1, after=3 * SECOND)
    kinds = [type(a) for a in acts if isinstance(a, CloseIdleConnections | ForwardRequest)]
    g.outcome(rid, 0, only(acts, ForwardRequest)[0].backend, result, after=0, latency=latency)
    assert kinds in ([ForwardRequest], [CloseIdleConnections, ForwardRequest])
    return kinds[0] is CloseIdleConnections


def test_rested_connections_are_closed_where_those_kept_stay_silent():
    g = Gateway(backends=1)
    assert rest(g, AttemptResult.OK)  # the first is new in any case
    assert not rest(g, AttemptResult.OK)
    assert not rest(g, AttemptResult.TIMEOUT, SECOND)  # a path forgot it
    assert [rest(g, AttemptResult.OK) for _ in range(4)] == [True] * 4
    for _ in range(10):
        g.tick(after=10 * SECOND)
    assert not rest(g, AttemptResult.OK)  # it does not latch


def test_rested_connections_are_kept_where_new_ones_fail():
    g = Gateway(backends=1)
    rest(g, AttemptResult.OK)
    for _ in range(3):
        g.policy.broken = [0.3, 0.5, 0.0]
        assert not rest(g, AttemptResult.OK)
    g = Gateway(backends=40)
    for _ in range(12):  # nothing but new connections, and all fail
        rest(g, AttemptResult.CONNECT_FAILED)
    assert g.policy.broken[1] > 0.5 and g.policy.broken[0] == 0.0


def test_a_connection_in_use_is_not_closed():
    g = Gateway(backends=1)
    rest(g, AttemptResult.OK)
    g.policy.broken = [0.9, 0.0, 0.0]
    assert not only(g.ask(after=300 * MS)[1], CloseIdleConnections)


def test_no_further_attempt_whose_time_is_up():
    g = Gateway(backends=4)  # class 0 earns nothing after its aim of 1 s
    rid, acts = g.ask(cls=0)
    first = only(acts, ForwardRequest)[0]
    acts = g.outcome(rid, 0, first.backend, AttemptResult.TIMEOUT, after=first.until_ns - g.now)
    assert not only(acts, ForwardRequest) and [a.request for a in only(acts, RejectRequest)] == [rid]
    rid, acts = g.ask(cls=0)
    acts = g.outcome(rid, 0, only(acts, ForwardRequest)[0].backend, AttemptResult.RESET, after=300 * MS)
    assert [a.until_ns for a in only(acts, ForwardRequest)] == [g.now + 700 * MS]


def answered(g, count=12, latency=50 * MS, silent=0):
    """A stretch of requests, the last few of which nobody answers."""
    for k in range(count):
        rid, acts = g.ask(cls=1, after=20 * MS)
        for send in only(acts, ForwardRequest):
            result = AttemptResult.TIMEOUT if k >= count - silent else AttemptResult.OK
            took = SECOND if k >= count - silent else latency
            g.outcome(rid, 0, send.backend, result, after=0, latency=took)
    g.tick(after=0)


def test_silence_beside_calm_answers_is_no_pressure():
    g = Gateway(backends=12)
    for _ in range(20):
        answered(g)
    for _ in range(10):  # now a quarter gets no answer, anywhere
        answered(g, silent=3)
    assert g.policy.strain < 1 and g.policy.level == float("inf")


def test_silence_beside_late_answers_and_silence_alone_are_pressure():
    for latency, silent in ((700 * MS, 3), (50 * MS, 11)):
        g = Gateway(backends=12)
        for _ in range(20):
            answered(g)
        for _ in range(10):
            answered(g, latency=latency, silent=silent)
        assert g.policy.strain > 1 and g.policy.level < float("inf")


def test_a_few_attempts_above_the_level_do_not_refuse_all():
    g = Gateway({"gateways": 200}, backends=8)
    p = g.policy
    p.level, p.strain = 0.25, 0.9  # an even part of the level: two units out
    for leaf in p.leaves[:2]:
        leaf.arrivals = 1.5
    p.out, p.done_rate = 3.0, 2.0
    g.tick()
    assert p.leaves[1].rate > 0.5  # the best group; 2 a second may go, as many as were done


def test_the_budget_does_not_sink_with_what_is_done():
    rates = []
    for part in (1.0, 0.5):  # half as much sent, half as much out and done: the same time in the back end
        g = Gateway({"gateways": 200}, backends=8)
        p = g.policy
        p.level, p.strain, p.leaves[1].arrivals = 0.25, 0.9, 60.0
        p.out, p.done_rate = 1.0 * part, 10.0 * part
        g.tick()
        rates.append(p.leaves[1].rate)
    assert 0 < rates[0] < 1 and rates[1] > 0.9 * rates[0]
