"""Concurrency limit of a target that has started or recovered.

The limit counts requests that run or wait at the target. It starts low
and follows from the answers: it doubles with each round of good answers,
falls after slow or failed ones, and ends when the target gets at most
half of it. A round is as many answers as the limit allows requests.
"""

from collections import deque
from enum import Enum, unique

# Start value and lowest limit per slot: one request runs and one waits, so
# that a slot is never idle between two requests, and a target of which
# nothing is known always gets samples. A target also rejects requests that
# have waited too long, so the load at a rejection may be near 0.
MIN_LOAD_PER_SLOT = 2
# A round is slow if its mean duration exceeds this multiple of the
# reference. Targets of one service differ 2.7 times in speed, which is up
# to 1.7 times their mean.
SLOW_RATIO = 2.0
# A few requests run many times longer than the rest; one of them alone
# does not make a round of four answers slow.
MAX_RATIO = 4.0
DECREASE = 0.7
# A target that has answered this share of its requests with an error is
# failing. Single errors are usually the fault of the request.
FAILING_SHARE = 0.1
# The limit of a failing target ends below this share only, so that it does
# not come and go at a share near the other one.
RECOVERED_SHARE = 0.05
# Weight of one answer in the moving share of failures.
FAILURE_WEIGHT = 0.03
# A failed request keeps its place under the limit for this long. Failures
# are often fast, so a limit of concurrent requests alone would not lower
# their rate.
FAILURE_HOLD_S = 1.0
# Rounds at the load at which the target has rejected a request until the
# limit is raised by one. Each attempt may cost a rejected request.
PROBE_ROUNDS = 8
# Failures that are remembered; more would exceed the limit of any target.
MAX_HOLDS = 1024
# The best mean of the target's own rounds rises by this factor a round, as
# a single round of short requests must not stay the reference.
BEST_DRIFT = 1.1


@unique
class PaceReason(Enum):
    """Why the load of a target is limited."""

    STARTED = 'started'
    SILENT = 'silent'
    REJECTED = 'rejected'
    FAILED = 'failed'


class _Round:
    """Answers under one value of the limit."""

    __slots__ = ('answers', 'duration_s', 'failures', 'peak_load', 'ratio')

    def __init__(self) -> None:
        self.answers = 0
        self.failures = 0
        self.duration_s = 0.0
        self.ratio = 0.0
        self.peak_load = 0

    @property
    def total(self) -> int:
        """Return the number of answers, with failures."""
        return self.answers + self.failures

    @property
    def is_bad(self) -> bool:
        """Return whether the answers were slow or too many have failed."""
        is_failing = self.failures > self.total * FAILING_SHARE
        return is_failing or self.ratio > self.answers * SLOW_RATIO


class TargetPace:
    """Limit of the concurrent requests of one target.

    `slots` is the number of requests that the target runs at once.
    `queue_limit` is the load at which it is known to reject requests, None
    if that is not known. `reason` is why the limit was last set, `began_s`
    since when the target is limited, in monotonic seconds.
    """

    __slots__ = (
        '_best_s',
        '_failing_share',
        '_held_until_s',
        '_is_doubling',
        '_limit',
        '_probe_rounds',
        '_round',
        'began_s',
        'queue_limit',
        'reason',
        'slots',
    )

    def __init__(self) -> None:
        self.slots = 1
        self.queue_limit: int | None = None
        self.reason = PaceReason.STARTED
        self.began_s = 0.0
        self._limit: int | None = None
        self._is_doubling = False
        self._probe_rounds = 0
        self._round = _Round()
        self._best_s = 0.0
        self._failing_share = 0.0
        self._held_until_s: deque[float] = deque(maxlen=MAX_HOLDS)

    @property
    def is_limited(self) -> bool:
        """Return whether there is a limit."""
        return self._limit is not None

    def limit(self, now_s: float) -> int | None:
        """Return the limit less recent failures, None without a limit.

        It is 0 for at most `FAILURE_HOLD_S` after a series of failures.
        """
        if self._limit is None:
            return None
        held_until_s = self._held_until_s
        while held_until_s and held_until_s[0] <= now_s:
            held_until_s.popleft()
        return max(self._limit - len(held_until_s), 0)

    def restart(
        self,
        slots: int,
        now_s: float,
        *,
        reason: PaceReason = PaceReason.STARTED,
    ) -> None:
        """Begin at the start value, after a start or a silence."""
        self.slots = slots
        self._best_s = 0.0
        self._failing_share = 0.0
        self._held_until_s.clear()
        self.queue_limit = None
        self._begin(reason, 0, now_s)
        self._is_doubling = True

    def record_answer(
        self, duration_s: float, reference_s: float, load: int, now_s: float
    ) -> None:
        """Record a successful answer.

        `duration_s` is the duration for each request that a slot ran until
        the answer; `reference_s` is the mean of the other targets. If that
        is 0, the target's own best is the reference. `load` includes the
        answered request.
        """
        self._failing_share *= 1 - FAILURE_WEIGHT
        if self._limit is None:
            return
        reference_s = reference_s or self._best_s
        ratio = duration_s / reference_s if reference_s else 1.0
        self._round.answers += 1
        self._round.duration_s += duration_s
        self._round.ratio += min(ratio, MAX_RATIO)
        self._count(load)

    def record_failure(self, load: int, now_s: float) -> None:
        """Record an answer that says that the request has failed.

        `load` includes the answered request. Without a limit, one is set
        only if a share of `FAILING_SHARE` of the requests has failed.
        """
        self._failing_share += FAILURE_WEIGHT * (1 - self._failing_share)
        if self._limit is None:
            if self._failing_share < FAILING_SHARE:
                return
            self._begin(PaceReason.FAILED, load, now_s)
        self._held_until_s.append(now_s + FAILURE_HOLD_S)
        self._round.failures += 1
        self._count(load)

    def record_rejection(self, load: int, now_s: float) -> None:
        """Record that the target rejected a request as its queue is full.

        The load at that moment, without the request, becomes the limit. Of
        requests that are rejected together, the last one has the load that
        the target has kept. A rejection below the lowest limit does not
        tell how long the queue is: the request has waited too long.
        """
        limit = load if self._limit is None else min(load, self._limit)
        self._begin(PaceReason.REJECTED, limit, now_s)
        if load >= self._floor:
            self.queue_limit = load

    def _begin(self, reason: PaceReason, limit: int, now_s: float) -> None:
        if self._limit is None:
            self.began_s = now_s
        self.reason = reason
        self._limit = max(limit, self._floor)
        self._is_doubling = False
        self._probe_rounds = 0
        self._round = _Round()

    @property
    def _floor(self) -> int:
        return self.slots * MIN_LOAD_PER_SLOT

    def _count(self, load: int) -> None:
        """Count the load at an answer, and end the round if it is full."""
        ended = self._round
        ended.peak_load = max(ended.peak_load, load)
        limit = self._limit or 0
        if ended.total < limit:
            return
        self._round = _Round()
        if ended.is_bad:
            self._is_doubling = False
            self._limit = max(int(limit * DECREASE), self._floor)
            return
        self._record_best(ended)
        if ended.peak_load * 2 > limit:
            self._grow(limit)
        elif self._failing_share < RECOVERED_SHARE:
            self._end()

    def _grow(self, limit: int) -> None:
        queue_limit = self.queue_limit
        if queue_limit is None:
            step = limit if self._is_doubling else self.slots
            self._limit = limit + step
        elif limit < queue_limit:
            self._limit = min(limit + self.slots, queue_limit)
        else:
            self._probe_rounds = (self._probe_rounds + 1) % PROBE_ROUNDS
            if not self._probe_rounds:
                self._limit = limit + 1
                self.queue_limit = limit + 1

    def _record_best(self, ended: _Round) -> None:
        mean_s = ended.duration_s / ended.answers
        best_s = self._best_s * BEST_DRIFT or mean_s
        self._best_s = min(best_s, mean_s)

    def _end(self) -> None:
        self._limit = None
        self.queue_limit = None
        self._held_until_s.clear()
