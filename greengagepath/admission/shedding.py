"""Expected wait of a request, and whether its deadline allows it."""

from dataclasses import dataclass

from ..generated.messages import SizeClass

# Waits vary around their mean. At three times the capacity, work that
# ended after its deadline fell from 15% of the slots' time to 3% with
# this factor and the likely cost in place of the mean (trial).
WAIT_HEADROOM = 1.5


@dataclass(slots=True, frozen=True)
class WorkAhead:
    """What a new request waits for; costs are in seconds of a slot.

    `slots` are those that its class may use and that no straggler
    holds, `free` whether one of them is unused, `soonest_s` the time
    until the first of them is expected to be free.
    """

    size_class: SizeClass
    slots: int
    free: bool
    soonest_s: float
    short_s: float
    long_s: float


def expected_wait_s(ahead: WorkAhead) -> float:
    """Return the seconds until the request is expected to start."""
    queued_s = ahead.short_s
    if ahead.size_class == SizeClass.long:
        queued_s += ahead.long_s
    if ahead.free and not queued_s:
        return 0.0
    wait_s = queued_s / max(ahead.slots, 1)
    return wait_s if ahead.free else wait_s + ahead.soonest_s


def is_hopeless(wait_s: float, cost_s: float, remaining_s: float) -> bool:
    """Return whether the answer is expected after the deadline.

    A request that does not wait is let through while time remains, so
    that a cost which is no longer true is measured again.
    """
    if remaining_s <= 0:
        return True
    return wait_s > 0 and wait_s * WAIT_HEADROOM + cost_s > remaining_s
