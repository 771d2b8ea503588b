"""Leader terms: which gateway may propose a routing table, and which table is valid. No I/O and no clock.

A fixed set of gateways, which every gateway computes alike by rendezvous hashing, are the electors. A
candidate requests votes for a term. An elector that grants its vote to a candidate does not vote for another
one for `term_ns` from then on. A candidate with the votes of a majority of all electors is the leader until
`term_ns` after it *requested* the votes. As that is before any vote was granted, there is at most one leader
at any time. Each process only compares time spans on its own clock.

Votes are counted by elector, for one term and one process. An elector that restarts has lost the record of
the vote that it granted, so it grants none for one `term_ns`. Each table has a generation: term, number,
leader and the leader's process. All tables of a term come from one process, so tables of the same generation
are equal. The newest generation is valid, regardless of the order in which tables arrive. A table that has
not been renewed for `table_lifetime_ns` is no longer valid, and each gateway falls back to its share of the
spill (`feature`).

A leader that was suspended checks its clock before it proposes, and finds that its term is over. A table that
it sent earlier is either of an older generation by then or still the newest one, the same for all gateways.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

from .messages import Generation, LeaderMessage, RoutingTable, VoteReply, VoteRequest
from .settings import ZoneFailoverSettings

# Electors request votes when the table has not been renewed for this many heartbeat intervals.
RENEWAL_GRACE: Final = 3
U64: Final = 2**64


def select_electors(gateway_count: int, limit: int) -> list[int]:
    """Returns the gateways that elect the leader, at most `limit`, in the order of their candidacy.

    All gateways get the same result for the same number of gateways.
    """
    return sorted(range(gateway_count), key=_mix)[:limit]


def _mix(value: int) -> int:
    """Hashes a number with SplitMix64 (Steele, Lea, Flood 2014)."""
    value = (value + 1) * 0x9E3779B97F4A7C15 % U64
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9 % U64
    value = (value ^ value >> 27) * 0x94D049BB133111EB % U64
    return value ^ value >> 31


@dataclass(slots=True)
class GrantedVote:
    """The latest vote that this elector granted."""

    term: int
    candidate: int
    process: int  # of the candidate
    binding_until_ns: int  # until then the elector may not vote for another candidate


@dataclass(slots=True)
class Candidacy:
    """This gateway's candidacy for one term."""

    term: int
    requested_ns: int
    votes: dict[int, None] = field(default_factory=dict)  # electors, in the order of their replies
    proposed_tables: int = 0  # number of tables proposed in the term


class LeaderTerms:
    """The participation of one gateway process in elections and in the distribution of routing tables."""

    def __init__(
        self,
        settings: ZoneFailoverSettings,
        gateway_index: int,
        gateway_count: int,
        process: int,
        now: int,
        rng: random.Random,
    ) -> None:
        """`process` is a number that differs between the processes of a gateway."""
        self.settings = settings
        self.gateway_index = gateway_index
        self.process = process
        self.rng = rng
        self.electors = select_electors(gateway_count, settings.max_electors)
        self.majority = len(self.electors) // 2 + 1
        self.latest_term = 0  # latest term that this gateway knows of
        self.granted_vote: GrantedVote | None = None
        # until then, a vote that the previous process granted may still be binding
        self.no_vote_before_ns = now + settings.term_ns
        self.candidacy: Candidacy | None = None
        self.renewal: Candidacy | None = None  # for the next term, while this gateway leads the current one
        self.table: RoutingTable | None = None
        self.table_renewed_ns = 0  # when the table was last proposed or renewed, on this process's clock
        self.next_request_ns = now + rng.randrange(settings.term_ns) + settings.term_ns
        self._outbox: list[tuple[int, LeaderMessage]] = []

    # ---- proposing

    def is_leader(self, now: int) -> bool:
        """Returns whether this gateway has the votes of a majority and its term has not ended."""
        candidacy = self.candidacy
        return (
            candidacy is not None
            and len(candidacy.votes) >= self.majority
            and now - candidacy.requested_ns < self.settings.term_ns
        )

    def update(self, now: int, reporting: set[int]) -> None:
        """Requests votes when due; has to be called once in each heartbeat interval.

        A leader requests votes for the next term after half of its term. If the table is not renewed, the
        first elector among the gateways whose reports arrive (`reporting`) requests votes; the others do so
        half a term later.
        """
        if self.gateway_index not in self.electors:
            return
        if self.is_leader(now):
            if now - self.candidacy.requested_ns >= self.settings.term_ns // 2:
                self._request_votes(now)
            return
        first = next(
            (elector for elector in self.electors if elector == self.gateway_index or elector in reporting),
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
        if leads:  # the current term continues until the votes for the next one arrive or it ends
            self.renewal = candidacy
        else:
            self.candidacy = candidacy
        self.next_request_ns = now + self.settings.term_ns // 2 + self.rng.randrange(self.settings.term_ns)
        request = VoteRequest(candidacy.term, self.process)
        self._outbox += [(elector, request) for elector in self.electors if elector != self.gateway_index]
        self._complete_renewal()

    def _complete_renewal(self) -> None:
        """Replaces the current term by the next one once that has a majority."""
        if self.renewal is not None and len(self.renewal.votes) >= self.majority:
            self.candidacy = self.renewal
            self.renewal = None

    def propose(
        self, now: int, weights: tuple[tuple[int, ...], ...], states: tuple[int, ...]
    ) -> RoutingTable | None:
        """Returns a table of this term, or None if this gateway is not the leader.

        If weights and states equal those of the term's last table, that table is renewed.
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
        """Returns whether this process proposed the table in its current term."""
        generation = table.generation
        return (
            generation.term == self.candidacy.term
            and generation.process == self.process
            and generation.leader == self.gateway_index
        )

    # ---- messages

    def receive(self, now: int, sender: int, message: LeaderMessage) -> bool:
        """Handles another gateway's message; returns True if it is a newer table than the current one."""
        if isinstance(message, VoteRequest):
            self._reply(now, sender, message)
        elif isinstance(message, VoteReply):
            self._count_vote(sender, message)
        elif 0 <= message.age_ns < self.settings.table_lifetime_ns:
            return self._adopt(now, message)
        return False

    def take_messages(self) -> list[tuple[int, LeaderMessage]]:
        """Returns the messages to send that were added since the last call, each with its receiver."""
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
                candidacy.votes[sender] = None  # keyed by elector, so that a duplicated reply counts once
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
        """Returns the valid table; None if it has not been renewed for `table_lifetime_ns`."""
        if self.table is None or now - self.table_renewed_ns >= self.settings.table_lifetime_ns:
            return None
        return self.table
