"""Load that further requests on the open flows of a target will cause.

Load pattern: 7 in 10 requests come on flows that stay open for many
requests and cannot be moved. A target with many such flows is often idle
at the moment when a new flow is placed, and overloaded a second later.
After a loss of all VMs they open again within a second, before an average
of past requests could show where they are. So flows are counted as they
open, and weighed by the rate of requests that is learned for their route.
"""

# Wait added for a target whose slots are always busy, in mean service
# times of the service. It evens out the busy time of targets of any
# speed, also for requests on flows that cannot be moved;
# docs/routing.md has the results for other values.
BUSY_GAIN = 4.0
# Assumed time between two requests on a flow before any is known; counts
# like one sample.
PRIOR_GAP_S = 1.0
GAP_GAIN = 0.05
# Longer times between requests count as this multiple of the average.
MAX_GAP_RATIO = 3.0
# A flow without a request for this many average gaps is not counted until
# its next request: its caller may be gone.
DORMANT_GAPS = 4.0
# Assumed share of flows that bring a second request, with the weight of one
# flow, and the number of flows after which old ones fade.
PRIOR_REPEAT_SHARE = 0.5
MAX_DECIDED = 50.0
# Routes of which fewer flows bring a second request are taken for routes
# with one request per flow, which are placed by their present load alone.
MIN_REPEAT_SHARE = 0.05
# Routes with a rate of their own; further ones share one rate.
MAX_ROUTES = 64
_ROUTE = slice(2, 8)
_SHARED_ROUTE = b''


def busy_wait_s(busy_share: float, mean_service_s: float) -> float:
    """Return the wait in seconds that a busy target is ranked with.

    `busy_share` is the share of the target's slots that is expected to be
    busy, and may be above 1; `mean_service_s` is the mean duration of a
    request at all targets of the service.
    """
    return BUSY_GAIN * mean_service_s * busy_share


class RouteFlows:
    """Open flows of one route, and the learned rate of their requests.

    Flows without a request yet, with one, and with several are kept apart.
    Flows that are not counted any more are dormant. Times of the last
    requests are in monotonic seconds, the oldest first.
    """

    __slots__ = (
        '_decided',
        '_dormant_s_by_flow',
        '_gap_s',
        '_gaps',
        '_opened',
        '_repeated',
        '_repeating_s_by_flow',
        '_single_s_by_flow',
    )

    def __init__(self) -> None:
        self._opened: set[bytes] = set()
        self._single_s_by_flow: dict[bytes, float] = {}
        self._repeating_s_by_flow: dict[bytes, float] = {}
        self._dormant_s_by_flow: dict[bytes, float] = {}
        self._gap_s = PRIOR_GAP_S
        self._gaps = 1
        self._repeated = PRIOR_REPEAT_SHARE
        self._decided = 1.0

    @property
    def is_idle(self) -> bool:
        """Return whether the route has no open flow."""
        return not (
            self._opened
            or self._single_s_by_flow
            or self._repeating_s_by_flow
            or self._dormant_s_by_flow
        )

    def add(self, flow: bytes) -> None:
        """Add a flow whose first request is expected."""
        self._opened.add(flow)

    def record_request(self, flow: bytes, now_s: float) -> None:
        """Count a request on a flow that has been added or not."""
        repeated_s = self._repeating_s_by_flow.pop(flow, None)
        if repeated_s is not None:
            self._add_gap(now_s - repeated_s)
            self._repeating_s_by_flow[flow] = now_s
            return
        first_s = self._single_s_by_flow.pop(flow, None)
        if first_s is None:
            first_s = self._dormant_s_by_flow.pop(flow, None)
        self._opened.discard(flow)
        if first_s is None:
            self._single_s_by_flow[flow] = now_s
            return
        self._add_gap(now_s - first_s)
        self._record_decided(repeats=True)
        self._repeating_s_by_flow[flow] = now_s

    def remove(self, flow: bytes) -> None:
        """Remove a flow that was closed or that has no request."""
        self._opened.discard(flow)
        self._repeating_s_by_flow.pop(flow, None)
        self._dormant_s_by_flow.pop(flow, None)
        if self._single_s_by_flow.pop(flow, None) is not None:
            self._record_decided(repeats=False)

    def remove_all(self) -> None:
        """Remove all flows; keep what was learned of them."""
        self._opened.clear()
        self._single_s_by_flow.clear()
        self._repeating_s_by_flow.clear()
        self._dormant_s_by_flow.clear()

    def estimate_rate(self, now_s: float) -> float:
        """Return the expected further requests per second of all flows.

        A flow that has had at most one request counts whole if at least
        half of such flows bring a second one.
        """
        self._record_dormant(now_s)
        share = self._repeated / self._decided
        weight = 1.0 if share >= PRIOR_REPEAT_SHARE else share
        if share < MIN_REPEAT_SHARE:
            weight = 0.0
        flows = len(self._opened) + len(self._single_s_by_flow)
        return (len(self._repeating_s_by_flow) + weight * flows) / self._gap_s

    def _record_dormant(self, now_s: float) -> None:
        before_s = now_s - DORMANT_GAPS * self._gap_s
        dormant = _drop_oldest(self._single_s_by_flow, before_s)
        for _ in dormant:
            self._record_decided(repeats=False)
        dormant += _drop_oldest(self._repeating_s_by_flow, before_s)
        self._dormant_s_by_flow.update(dormant)

    def _add_gap(self, gap_s: float) -> None:
        self._gaps += 1
        gain = max(GAP_GAIN, 1 / self._gaps)
        clamped_s = min(gap_s, self._gap_s * MAX_GAP_RATIO)
        self._gap_s += (clamped_s - self._gap_s) * gain

    def _record_decided(self, *, repeats: bool) -> None:
        if self._decided >= MAX_DECIDED:
            kept = 1 - 1 / MAX_DECIDED
            self._decided *= kept
            self._repeated *= kept
        self._decided += 1
        self._repeated += repeats


class StandingLoad:
    """Open flows of one target by route, and the load they will cause.

    A flow is identified by its 12 bytes and its route by the destination
    in them. Times are monotonic seconds. The caller bounds the number of
    flows; routes beyond `MAX_ROUTES` share one learned rate.
    """

    __slots__ = ('_by_flow', '_by_route')

    def __init__(self) -> None:
        self._by_route: dict[bytes, RouteFlows] = {}
        self._by_flow: dict[bytes, RouteFlows] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def count_routes(self) -> int:
        """Return the number of learned rates."""
        return len(self._by_route)

    def estimate_share(
        self, service_s: float, slots: int, now_s: float
    ) -> float:
        """Return the share of the slots that further requests keep busy.

        `service_s` is the duration of a request. The share may be above 1.
        """
        rate_per_s = sum(
            route.estimate_rate(now_s) for route in self._by_route.values()
        )
        return rate_per_s * service_s / slots

    def record_opening(self, flow: bytes) -> None:
        """Count a new flow, whose first request is expected."""
        if flow not in self._by_flow:
            self._find_route(flow).add(flow)

    def record_request(self, flow: bytes, now_s: float) -> None:
        """Count a request; a flow that is not counted is added."""
        self._find_route(flow).record_request(flow, now_s)

    def discard(self, flow: bytes) -> None:
        """Stop counting a flow that was closed or that has no request."""
        route = self._by_flow.pop(flow, None)
        if route is not None:
            route.remove(flow)

    def clear_flows(self) -> None:
        """Count no flow until its next request; keep the learned rates."""
        self._by_flow.clear()
        for route in self._by_route.values():
            route.remove_all()

    def _find_route(self, flow: bytes) -> RouteFlows:
        """Return the route of a flow and keep the flow as one of it."""
        route = self._by_flow.get(flow)
        if route is None:
            route = self._by_route.get(flow[_ROUTE]) or self._add_route(flow)
            self._by_flow[flow] = route
        return route

    def _add_route(self, flow: bytes) -> RouteFlows:
        key = flow[_ROUTE]
        if len(self._by_route) >= MAX_ROUTES and not self._remove_idle_route():
            key = _SHARED_ROUTE
        return self._by_route.setdefault(key, RouteFlows())

    def _remove_idle_route(self) -> bool:
        """Remove a route without open flows; False if there is none."""
        for key, route in self._by_route.items():
            if route.is_idle:
                del self._by_route[key]
                return True
        return False


def _drop_oldest(
    since_s_by_flow: dict[bytes, float], before_s: float
) -> list[tuple[bytes, float]]:
    """Remove and return the first entries that are older than `before_s`."""
    old = []
    for entry in since_s_by_flow.items():
        if entry[1] >= before_s:
            break
        old.append(entry)
    for flow, _ in old:
        del since_s_by_flow[flow]
    return old
