"""How long an opening packet may wait, and by when it has to finish."""

# An opening packet begins to wait if its request is expected to finish
# within the share of the latency objective in which its priority is
# accepted, plus this share. With 0.15 in place of 0.1, up to 1.8 times as
# many packets are refused after a wait, since others of higher priority
# arrive meanwhile; the next try of such a caller finishes late.
EXTRA_SHARE = 0.1
# A packet is refused once its request is expected to finish after this
# share of the objective. The difference absorbs wrong estimates and packets
# of higher priority that arrive later.
LIMIT_SHARE = 0.9
# Share of what is left of the objective in which a request has to finish
# when its packet is placed. The rest is for the network and for requests
# that run longer than average.
FINISH_SHARE = 0.6
# Weight of the slots that higher priorities got lately: a part of them has
# waited longer, and is counted among the packets ahead as well.
OVERTAKING_WEIGHT = 0.5
# Longest wait of a route without a latency objective, in seconds; the
# caller sends the first copy of its packet after 0.2 s.
NO_OBJECTIVE_WAIT_S = 0.2
# Longest wait of any route, in seconds; the caller sends the last copy of
# its packet after 0.6 s and gives up if none is answered.
MAX_WAIT_S = 1.0


class FinishForecast:
    """When the requests of packets that wait for a target would end.

    `load` is the number of requests at the target and `service_s` the
    duration of one, in seconds.
    """

    __slots__ = ('finish_s', 'interval_s', 'service_s')

    def __init__(self, load: int, slots: int, service_s: float) -> None:
        self.service_s = service_s
        # A slot becomes free once in this time.
        self.interval_s = service_s / slots
        # Duration of the next request that the target gets.
        queued = max(load - slots + 1, 0)
        self.finish_s = service_s + queued * self.interval_s

    def finish_after_s(self, ahead: int, overtaking_share: float) -> float:
        """Return when a request ends that is served after `ahead` others.

        `overtaking_share` is the share of the slots that packets of higher
        priority get which arrive meanwhile.
        """
        share = 1 - overtaking_share * OVERTAKING_WEIGHT
        return self.finish_s + ahead * self.interval_s / share


def find_longest_wait_s(objective_s: float, service_s: float) -> float:
    """Return after how long a request finishes late even on a free slot.

    `objective_s` is what is left of the latency objective, 0 if the route
    has none; `service_s` is the duration of a request. At most 0 means
    that the packet cannot wait.
    """
    if not objective_s:
        return NO_OBJECTIVE_WAIT_S
    return min(objective_s - service_s / FINISH_SHARE, MAX_WAIT_S)


def can_begin_to_wait(
    objective_s: float, finish_s: float, accepted_share: float
) -> bool:
    """Return whether a packet that arrives will be served in time.

    `objective_s` is what is left of the latency objective, 0 if the route
    has none, and `finish_s` the expected duration of the request, with the
    wait. `accepted_share` is the share of the objective within which a
    request of this priority has to finish to be accepted without a wait.
    """
    if not objective_s:
        return True
    return finish_s <= objective_s * (accepted_share + EXTRA_SHARE)


def is_in_time(objective_s: float, waited_s: float, finish_s: float) -> bool:
    """Return whether a request that has waited finishes early enough.

    `objective_s` is what was left of the latency objective before the
    wait, 0 if the route has none; `finish_s` is the expected duration from
    now on.
    """
    if not objective_s:
        return True
    return finish_s <= (objective_s - waited_s) * FINISH_SHARE
