"""Settings of the keeper's side. All times in nanoseconds of one clock; its skew is one of them."""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.validation import require_above_zero, require_known, require_share

MS, SECOND = 1_000_000, 1_000_000_000
FAILURES = ("none", "gone", "slow", "calls lost", "gateway dead", "split", "swapped")


@dataclass(frozen=True, slots=True)
class KeeperSettings:
    """ValueError names a field that can't work."""

    epoch_ns: int = SECOND  # a customer's counts go by a new name so often
    lease_ns: int = 400 * MS  # a lease covers recent use for so long
    lease_most_ns: int = 600 * MS  # and the plan's rate for so long at most, or one largest request
    beat_ns: int = 250 * MS  # how often a gateway shows itself to the keeper and its view to its peers
    heard_ns: int = 900 * MS  # a peer's word counts for so long
    late_ns: int = 150 * MS  # a word that takes longer than this is not taken
    call_ns: int = 50 * MS  # a call is given up after this
    missed: int = 2  # beats in a row without an answer, from which the keeper counts as lost
    skew_ns: int = 5 * MS  # between the clocks of two gateways, at most
    ways: int = 2  # a split into so many parts has to be borne
    endured: tuple[str, ...] = FAILURES  # the failures whose bound has to be under most_overshoot
    most_overshoot: float = 0.05  # of what a quota gives in any minute
    period_ns: int = 30 * SECOND  # the beats' name changes so often; names live 60 s

    def __post_init__(self) -> None:
        require_above_zero(
            self,
            "epoch_ns",
            "lease_ns",
            "lease_most_ns",
            "beat_ns",
            "heard_ns",
            "late_ns",
            "call_ns",
            "missed",
            "period_ns",
        )
        if self.skew_ns < 0:
            raise ValueError("skew_ns: must not be negative")
        if self.ways < 2:
            raise ValueError("ways: a split has at least 2 parts")
        require_share(self, "most_overshoot")
        if self.heard_ns < 2 * self.beat_ns + self.late_ns:
            raise ValueError(
                "heard_ns: must cover two beats and a late word: one lost word would part the " "gateways"
            )
        if self.period_ns < 4 * self.heard_ns or self.period_ns > 30 * SECOND:
            raise ValueError(
                "period_ns: must be at least four times heard_ns, and 30 s at most, as names " "live 60 s"
            )
        if self.epoch_ns < 2 * self.call_ns or self.epoch_ns > 20 * SECOND:
            raise ValueError("epoch_ns: must be at least twice call_ns, and 20 s at most")
        require_known(self.endured, FAILURES)

    @property
    def quarantine_ns(self) -> int:
        """From the last word that a gateway trusts its keeper until it may use its even part: by then no peer
        counts it any more, however late that word came."""
        return self.heard_ns + self.late_ns

    @property
    def apart_ns(self) -> int:
        """Peers that contradicted each other stay parted for so long. On two keepers they go on contradicting
        at every beat; after a change of keeper that all went through, they don't."""
        return 4 * self.heard_ns

    @property
    def noticed_ns(self) -> int:
        """From a split until both sides have parted: the later of silence, and of words that contradict."""
        return max(self.heard_ns, 3 * self.beat_ns) + self.late_ns
