"""How long an opening packet may wait, and how long it is expected to."""

# Share of the latency objective within which a request that has waited is
# expected to finish. The rest is for the network between caller and target
# and for requests that run longer than average.
IN_TIME_SHARE = 0.8
# Longest wait of a route without a latency objective, in seconds; the
# caller sends the first copy of its packet after 0.2 s.
NO_OBJECTIVE_WAIT_S = 0.2
# Longest wait of any route, in seconds; the caller sends the last copy of
# its packet after 0.6 s and gives up if none is answered.
MAX_WAIT_S = 1.0


def find_longest_wait_s(objective_s: float, service_s: float) -> float:
    """Return after how long a request finishes late even on a free slot.

    `objective_s` is what is left of the latency objective, 0 if the route
    has none; `service_s` is the duration of a request. At most 0 means
    that the packet cannot wait.
    """
    if not objective_s:
        return NO_OBJECTIVE_WAIT_S
    return min(objective_s * IN_TIME_SHARE - service_s, MAX_WAIT_S)


def is_in_time(objective_s: float, waited_s: float, finish_s: float) -> bool:
    """Return whether a request that has waited finishes early enough.

    `objective_s` is what was left of the latency objective before the
    wait, 0 if the route has none; `finish_s` is the expected duration from
    now on.
    """
    if not objective_s:
        return True
    return waited_s + finish_s <= objective_s * IN_TIME_SHARE


def expect_wait_s(ahead: int, slot_interval_s: float, excess_s: float) -> float:
    """Return how long a new packet is expected to wait, in seconds.

    `ahead` packets are served before it, one for each slot that becomes
    free, every `slot_interval_s` at one target. A home places packets at
    many targets and shares each with as many homes, so the slots of one
    target are what it gets. `excess_s` is by how much the expected duration
    at the best target is too long now; it falls with time.
    """
    return max(excess_s, slot_interval_s) + ahead * slot_interval_s
