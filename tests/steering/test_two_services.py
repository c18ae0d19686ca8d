"""Tests of open flows of a route that several services serve or served."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.steering.flows.lost_flows import WARM_UP_S
from greengagepath.steering.gone_agents import IDENTIFY_S
from greengagepath.steering.member_knowledge import MemberKnowledge
from greengagepath.steering.messages.peer_messages import digest_service

from .builders import (
    OTHER_SERVICE,
    SERVICE,
    make_address,
    make_flow,
    make_table,
)
from .world import World

AGENTS = 3
OTHER_AGENTS = 2
ALL_AGENTS = AGENTS + OTHER_AGENTS
BOTH = (SERVICE, OTHER_SERVICE)
FLOWS = 12
EXAMPLES = 200
# A flow that is lost is reset within this time of the caller's packet if
# all agents answer.
RESET_WITHIN_S = 0.2


def _open_flows(world: World, count: int = FLOWS) -> dict[bytes, int]:
    """Open flows that have answered one request each.

    All agents have read the list of members before. Return the first
    sequence number of the target by flow.
    """
    for number in range(1, ALL_AGENTS + 1):
        world.list_members(number)
    world.timers.advance(0.1)
    sequence_by_flow = {}
    for number in range(1, count + 1):
        flow = make_flow(number)
        sequence_by_flow[flow] = world.open(flow)
        world.request(flow, sequence_by_flow[flow])
    world.timers.advance(0.1)
    return sequence_by_flow


def _request_again(
    world: World, sequence_by_flow: dict[bytes, int], balancer: int = 1
) -> None:
    """Send another request on each flow."""
    world.responses.clear()
    for target in world.target_by_address.values():
        target.runs_by_flow.clear()
    for flow, sequence in sequence_by_flow.items():
        world.request(flow, sequence, balancer)
    world.timers.advance(RESET_WITHIN_S)


class TwoServicesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = World(agents=AGENTS, other_agents=OTHER_AGENTS)
        self.sequence_by_flow = _open_flows(self.world)

    def _assert_all_answered(self):
        self.assertEqual([], self.world.false_resets)
        self.assertEqual({}, dict(self.world.open_resets))
        self.assertEqual(set(self.sequence_by_flow), set(self.world.responses))

    def _select(self, service: bytes) -> dict[bytes, int]:
        """Return the flows whose target serves the service."""
        return {
            flow: sequence
            for flow, sequence in self.sequence_by_flow.items()
            if self.world.find_service(self.world.find_holder(flow)) == service
        }

    def test_flows_of_both_services_survive_a_balancer_restart(self):
        # Guards against the reset of open flows by the home of a service
        # whose targets do not hold them, while another service does.
        self.assertTrue(self._select(SERVICE))
        self.assertTrue(self._select(OTHER_SERVICE))
        self.world.start_balancer(1)
        self.world.timers.advance(0.5)
        _request_again(self.world, self.sequence_by_flow)
        self._assert_all_answered()

    def test_flows_survive_weights_that_no_new_flow_follows(self):
        # Guards against the reset of open flows of a service that gets no
        # new flows any more.
        for version, weights in enumerate(((1.0, 0.0), (0.0, 1.0)), start=2):
            table = make_table(version, services=BOTH, weights=weights)
            self.world.apply_routes(table)
            self.world.start_balancer(1)
            self.world.timers.advance(0.5)
            _request_again(self.world, self.sequence_by_flow)
            self._assert_all_answered()

    def test_flows_survive_a_change_of_the_services_of_their_route(self):
        # Guards against the reset, or the silence, of open flows whose
        # service a new configuration has taken off their route.
        for version, service in enumerate(BOTH, start=2):
            self.world.apply_routes(make_table(version, services=(service,)))
            self.world.start_balancer(1)
            self.world.timers.advance(0.5)
            _request_again(self.world, self.sequence_by_flow)
            self._assert_all_answered()

    def test_flows_survive_a_change_to_a_service_without_agents(self):
        # Guards against the silence of open flows after their route was
        # given to a service that has no agent yet.
        self.world.apply_routes(
            make_table(2, services=(digest_service('new'),))
        )
        self.world.start_balancer(1)
        self.world.timers.advance(0.5)
        _request_again(self.world, self.sequence_by_flow)
        self._assert_all_answered()

    def test_balancers_with_different_versions_reset_nothing(self):
        # Guards against a reset on the word of a balancer that has not
        # received the version which gave the route a second service.
        self.world.table = make_table(1, services=(SERVICE,))
        self.world.start_balancer(1)
        self.world.table = make_table(2, services=BOTH)
        self.world.start_balancer(2)
        self.world.timers.advance(0.5)
        for balancer in (1, 2):
            _request_again(self.world, self.sequence_by_flow, balancer)
            self._assert_all_answered()

    def test_flow_that_is_lost_at_its_service_is_reset(self):
        # Guards against callers that wait for their deadline because the
        # proof that nobody holds their flow is never complete.
        for number in range(1, ALL_AGENTS + 1):
            self.world.restart_target(number)
        _request_again(self.world, self.sequence_by_flow)
        self.world.timers.advance(2)
        self.assertEqual(
            set(self.sequence_by_flow), set(self.world.open_resets)
        )

    def test_flow_that_is_lost_is_reset_after_a_power_loss(self):
        # Guards against callers that wait for their deadline after all
        # processes and targets have restarted.
        self._restart_all()
        _request_again(self.world, self.sequence_by_flow)
        self.world.timers.advance(2)
        self.assertEqual(
            set(self.sequence_by_flow), set(self.world.open_resets)
        )

    def test_flow_is_kept_while_an_agent_of_the_other_service_is_down(self):
        # Guards against the reset of a flow whose agent restarts while
        # the question which target holds it is open.
        other = self._select(OTHER_SERVICE)
        holders = {self.world.find_holder(flow) for flow in other}
        for number in holders:
            self.world.stop_agent(number)
        self.world.start_balancer(1)
        self.world.timers.advance(0.3)
        _request_again(self.world, other)
        self.world.timers.advance(IDENTIFY_S / 2)
        _request_again(self.world, other)
        for number in holders:
            self.world.start_agent(number, is_first_start=False)
            self.world.list_members(number)
        self.world.timers.advance(0.3)
        _request_again(self.world, other)
        self.assertEqual([], self.world.false_resets)
        self.assertEqual(set(other), set(self.world.responses))

    def test_balancer_without_the_list_of_members_decides_nothing(self):
        # Guards against a reset on the word of a balancer that has just
        # started and has heard of one service only.
        other = self._select(OTHER_SERVICE)
        balancer = self.world.start_balancer(1)
        agents = balancer.contacts.agents
        agents.knowledge = MemberKnowledge(self.world.timers)
        for number in range(AGENTS + 1, ALL_AGENTS + 1):
            self.world.stop_agent(number)
            agents.by_address.pop(make_address(number), None)
        self.world.timers.advance(0.5)
        _request_again(self.world, other)
        self.assertEqual({}, dict(self.world.open_resets))

    def test_listed_agent_without_a_report_delays_the_decision(self):
        # Guards against a reset by processes that do not know yet which
        # service a listed agent serves.
        other = self._select(OTHER_SERVICE)
        for number in range(AGENTS + 1, ALL_AGENTS + 1):
            self.world.stop_agent(number)
        balancer = self.world.start_balancer(1)
        balancer.contacts.agent_lists.record_listed(
            list(self.world.target_by_address)
        )
        self.world.timers.advance(IDENTIFY_S / 2)
        _request_again(self.world, other)
        self.assertEqual({}, dict(self.world.open_resets))

    def _restart_all(self):
        for number in range(1, ALL_AGENTS + 1):
            self.world.restart_target(number)
            self.world.stop_agent(number)
        for number in (1, 2):
            self.world.start_balancer(number)
        for number in range(1, ALL_AGENTS + 1):
            self.world.start_agent(number, is_first_start=False)
        for number in range(1, ALL_AGENTS + 1):
            self.world.list_members(number)
        self.world.timers.advance(WARM_UP_S + 0.1)


_FAULTS = st.sampled_from(
    (
        'restart agent',
        'stop agent',
        'restart target',
        'restart balancer',
        'first service only',
        'second service only',
        'both services',
    )
)
_STEPS = st.tuples(
    _FAULTS,
    st.integers(1, ALL_AGENTS),
    # All steps together take less than IDENTIFY_S: an agent that is down
    # for longer counts as gone.
    st.sampled_from((0.0, 0.005, 0.05, 0.2)),
)


class ResetSafetyTest(TestCase):
    @settings(max_examples=EXAMPLES)
    @given(st.lists(_STEPS, max_size=12), st.booleans())
    def test_flow_of_either_service_is_never_reset(self, steps, is_listed):
        # Guards against the reset of an open flow, whatever restarts and
        # whichever services its route is given meanwhile.
        world = World(agents=AGENTS, other_agents=OTHER_AGENTS)
        sequence_by_flow = _open_flows(world, count=6)
        for version, (fault, number, wait_s) in enumerate(steps, start=2):
            self._apply(world, fault, number, version, is_listed=is_listed)
            world.timers.advance(wait_s)
            for flow, sequence in sequence_by_flow.items():
                world.request(flow, sequence, balancer=number % 2 + 1)
        world.timers.advance(1)
        self.assertEqual([], world.false_resets)

    def _apply(self, world, fault, number, version, *, is_listed):
        match fault:
            case 'restart target':
                world.replace_target(number)
            case 'restart balancer':
                world.start_balancer(number % 2 + 1)
            case 'first service only':
                world.apply_routes(make_table(version))
            case 'second service only':
                world.apply_routes(
                    make_table(version, services=(OTHER_SERVICE,))
                )
            case 'both services':
                world.apply_routes(make_table(version, services=BOTH))
            case _:
                world.replace_agent(
                    number,
                    starts=fault == 'restart agent',
                    is_listed=is_listed,
                )
