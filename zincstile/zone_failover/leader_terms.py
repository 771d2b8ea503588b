"""Leader terms: which gateway may propose a routing table, and which table holds. No I/O and no clock.

A fixed set of gateways, the same wherever it is computed (rendezvous hashing), are electors. A candidate
requests votes for a term. An elector grants its vote to one candidate at a time, for `term` from when it
granted it, and to no other before that is over. Who has the votes of more than half of all electors leads the
term until `term` after it *requested* them, which is before any vote was granted: so at any moment there is
at most one leader. Each process compares spans of its own clock alone.

Votes are counted by elector, for one term and one process. An elector that starts has forgotten what it
promised, and grants no vote for a whole `term`. Each table has a generation: term, leader, the leader's
process, and a number. All tables of a term come from one process, so that no two of one generation differ.
The newest generation holds, in whatever order tables arrive. A table that nobody renewed for `hold` ends, and
each gateway falls back to its configured part of the spill (`module`).

A leader that was suspended looks at its clock before it proposes: its term is over. What it had sent before
that is of an older generation by then, or still the newest: the same for all in either case.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

from .messages import Generation, LeaderMessage, RoutingTable, VoteReply, VoteRequest
from .settings import ZoneFailoverSettings

RENEWAL_GRACE: Final = 3  # report intervals without a renewed table after which electors stand for a term
U64: Final = 2**64


def select_electors(gateway_count: int, limit: int) -> list[int]:
    """Returns the gateways that elect the leader, at most `limit`, in the order in which they stand for it.

    The same everywhere for the same number of gateways.
    """
    return sorted(range(gateway_count), key=_mix)[:limit]


def _mix(value: int) -> int:
    """SplitMix64 (Steele, Lea, Flood 2014)."""
    value = (value + 1) * 0x9E3779B97F4A7C15 % U64
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 % U64
    value = (value ^ value >> 27) * 0x94D049BB133111EB % U64
    return value ^ value >> 31


@dataclass(slots=True)
class GrantedVote:
    """The vote that this elector granted last."""

    term: int
    candidate: int
    process: int  # of the candidate
    binding_until_ns: int  # it binds the elector until then


@dataclass(slots=True)
class Candidacy:
    """A term for which this gateway requested votes."""

    term: int
    requested_ns: int
    votes: dict[int, None] = field(default_factory=dict)  # electors, in the order of their replies
    proposed_tables: int = 0  # proposed in the term


class LeaderTerms:
    """Elections and routing tables, as one process of one gateway takes part in them."""

    def __init__(
        self,
        settings: ZoneFailoverSettings,
        gateway_index: int,
        gateway_count: int,
        process: int,
        now: int,
        rng: random.Random,
    ) -> None:
        """Takes the gateway's index and how many there are; `process` differs between its processes."""
        self.settings = settings
        self.gateway_index = gateway_index
        self.process = process
        self.rng = rng
        self.electors = select_electors(gateway_count, settings.max_electors)
        self.majority = len(self.electors) // 2 + 1
        self.latest_term = 0  # that this gateway knows of
        self.granted_vote: GrantedVote | None = None
        self.no_vote_before_ns = now + settings.term_ns  # until then a vote of the process before may bind it
        self.candidacy: Candidacy | None = None
        self.renewal: Candidacy | None = None  # for the next term, while this gateway leads the current one
        self.table: RoutingTable | None = None
        self.table_renewed_ns = 0  # when the table was made or renewed at the latest, by this process's clock
        self.next_request_ns = now + rng.randrange(settings.term_ns) + settings.term_ns
        self._outbox: list[tuple[int, LeaderMessage]] = []

    # ---- proposing

    def is_leader(self, now: int) -> bool:
        """Returns whether enough electors granted their votes to this gateway and its term still runs."""
        candidacy = self.candidacy
        return (
            candidacy is not None
            and len(candidacy.votes) >= self.majority
            and now - candidacy.requested_ns < self.settings.term_ns
        )

    def update(self, now: int, reporting: set[int]) -> None:
        """Requests votes where it is time to; to be called once each report interval.

        A leader renews its term in time. Without a renewed table, the first elector of those whose reports
        arrive (`reporting`) requests votes, and the others half a term later.
        """
        if self.gateway_index not in self.electors:
            return
        if self.is_leader(now):
            if now - self.candidacy.requested_ns >= self.settings.term_ns // 2:
                self._request_votes(now)
            return
        first = next(
            (one for one in self.electors if one == self.gateway_index or one in reporting),
            self.gateway_index,
        )
        renewed = (
            self.table is not None
            and now - self.table_renewed_ns < RENEWAL_GRACE * self.settings.heartbeat_interval_ns
        )
        delay_ns = 0 if first == self.gateway_index else self.settings.term_ns // 2
        if not renewed and now >= self.next_request_ns + delay_ns:
            self._request_votes(now)

    def _request_votes(self, now: int) -> None:
        leads = self.is_leader(now)
        self.latest_term += 1
        candidacy = Candidacy(self.latest_term, now)
        if self._may_grant(now, self.gateway_index, self.process, candidacy.term):
            self._grant(now, self.gateway_index, self.process, candidacy.term)
            candidacy.votes[self.gateway_index] = None
        if leads:  # it goes on with the current term until the votes for the next arrive, or the term ends
            self.renewal = candidacy
        else:
            self.candidacy = candidacy
        self.next_request_ns = now + self.settings.term_ns // 2 + self.rng.randrange(self.settings.term_ns)
        request = VoteRequest(candidacy.term, self.process)
        self._outbox += [(elector, request) for elector in self.electors if elector != self.gateway_index]
        self._complete_renewal()

    def _complete_renewal(self) -> None:
        """Replaces the current term by the next one, once that has the votes."""
        if self.renewal is not None and len(self.renewal.votes) >= self.majority:
            self.candidacy = self.renewal
            self.renewal = None

    def propose(
        self, now: int, weights: tuple[tuple[int, ...], ...], states: tuple[int, ...]
    ) -> RoutingTable | None:
        """Returns a table of this term; None where this gateway is not the leader.

        Weights and states equal to those of the last table of the term renew that table.
        """
        if not self.is_leader(now):
            return None
        table = self.table
        if table is None or not self._is_mine(table) or (table.weights, table.states) != (weights, states):
            self.candidacy.proposed_tables += 1
            generation = Generation(
                self.candidacy.term, self.candidacy.proposed_tables, self.gateway_index, self.process
            )
            table = RoutingTable(generation, weights, states)
        self._adopt(now, table)
        return table

    def _is_mine(self, table: RoutingTable) -> bool:
        """Whether this process proposed a table in its current term."""
        generation = table.generation
        return (
            generation.term == self.candidacy.term
            and generation.process == self.process
            and generation.leader == self.gateway_index
        )

    # ---- messages

    def receive(self, now: int, sender: int, message: LeaderMessage) -> bool:
        """Handles another gateway's message; returns True where a newer table holds by it."""
        if isinstance(message, VoteRequest):
            self._reply(now, sender, message)
        elif isinstance(message, VoteReply):
            self._count_vote(sender, message)
        elif 0 <= message.age_ns < self.settings.table_lifetime_ns:
            return self._adopt(now, message)
        return False

    def take_messages(self) -> list[tuple[int, LeaderMessage]]:
        """Returns the messages to send since the last call, each with the gateway it is for."""
        messages = self._outbox
        self._outbox = []
        return messages

    def _may_grant(self, now: int, candidate: int, process: int, term: int) -> bool:
        granted = self.granted_vote
        if now < self.no_vote_before_ns or self.gateway_index not in self.electors:
            return False
        if granted is None:
            return True
        if term <= granted.term:
            return False
        return now >= granted.binding_until_ns or (granted.candidate, granted.process) == (candidate, process)

    def _grant(self, now: int, candidate: int, process: int, term: int) -> None:
        self.granted_vote = GrantedVote(term, candidate, process, now + self.settings.term_ns)

    def _reply(self, now: int, sender: int, request: VoteRequest) -> None:
        if sender not in self.electors:
            return
        granted = self._may_grant(now, sender, request.process, request.term)
        if granted:
            self._grant(now, sender, request.process, request.term)
        self.latest_term = max(self.latest_term, request.term)
        term = request.term if granted else self.latest_term
        self._outbox.append((sender, VoteReply(term, request.process, granted)))

    def _count_vote(self, sender: int, reply: VoteReply) -> None:
        if reply.process != self.process or sender not in self.electors:
            return
        self.latest_term = max(self.latest_term, reply.term)
        for candidacy in (self.candidacy, self.renewal):
            if reply.granted and candidacy is not None and candidacy.term == reply.term:
                candidacy.votes[sender] = None  # by elector: a duplicated reply counts once
        self._complete_renewal()

    def _adopt(self, now: int, table: RoutingTable) -> bool:
        self.latest_term = max(self.latest_term, table.generation.term)
        made_ns = now - table.age_ns
        if self.table is not None and table.generation <= self.table.generation:
            if table.generation == self.table.generation:
                self.table_renewed_ns = max(self.table_renewed_ns, made_ns)
            return False
        self.table = table
        self.table_renewed_ns = made_ns
        return True

    def current_table(self, now: int) -> RoutingTable | None:
        """Returns the table that holds; None where none was renewed for `hold`."""
        if self.table is None or now - self.table_renewed_ns >= self.settings.table_lifetime_ns:
            return None
        return self.table
