"""Tests of the proof that no target of any service holds a flow."""

from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.steering.agent.agent_steering import AgentSteering
from greengagepath.steering.balancer.flow_denials import (
    DENIAL_TIMEOUT_S,
    MAX_SEQUENCE_STEP,
    FlowDenials,
)
from greengagepath.steering.balancer.known_agents import (
    AGENT_SILENCE_S,
    KnownAgents,
)
from greengagepath.steering.member_knowledge import MemberKnowledge
from greengagepath.steering.messages.peer_messages import (
    LoadReport,
    PeerKind,
    ReportedState,
    decode_report,
)

from .builders import (
    OTHER_SERVICE,
    SERVICE,
    make_address,
    make_data,
    make_flow,
    make_identity,
    make_message,
    make_report_message,
)
from .recorder import RecordingOutbox

HOME = make_address(1)
OTHER_HOME = make_address(2)


class FlowDenialsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService(start_s=100.0)
        self.agents = KnownAgents(self.timers)
        report = decode_report(make_report_message().body).unwrap()
        self.agents.record_report(HOME, SERVICE, report)
        self.agents.record_report(OTHER_HOME, OTHER_SERVICE, report)
        self._list_members()
        self.denials = FlowDenials(self.timers, self.agents)

    def _list_members(self) -> None:
        self.agents.knowledge.record_list(is_vouched=True)
        self.agents.knowledge.record_peer()

    def _record(self, home, service, acknowledged=7001):
        packet = make_data(make_flow(), acknowledged)
        return self.denials.record(home, service, packet, set())

    def test_denial_of_one_service_asks_the_others_once(self):
        # Guards against a flow that is taken for lost after one service of
        # two has denied it, and against a search for each denial.
        denied = self._record(HOME, SERVICE)
        self.assertFalse(self.denials.is_lost(denied))
        self.assertEqual({OTHER_SERVICE}, self.denials.take_unasked(denied))
        self.assertEqual(set(), self.denials.take_unasked(denied))

    def test_service_that_does_not_answer_is_asked_again(self):
        # Guards against a caller that waits for seconds, because the agent
        # that was asked for another service was killed.
        self.denials.take_unasked(self._record(HOME, SERVICE))
        repeated = self._record(HOME, SERVICE)
        self.assertEqual({OTHER_SERVICE}, self.denials.take_unasked(repeated))

    def test_agent_with_a_target_searches_for_another_service(self):
        # Guards against a search by an agent without a target, whose VM may
        # have been taken away a moment ago.
        idle = LoadReport(ReportedState.UNHEARD)
        for number in range(3, 20):
            self.agents.record_report(make_address(number), OTHER_SERVICE, idle)
        for number in range(30):
            flow = make_flow(number)
            searcher = self.agents.find_searcher(OTHER_SERVICE, flow)
            self.assertEqual(OTHER_HOME, searcher)
        self.timers.advance(AGENT_SILENCE_S + 0.1)
        self.assertIsNotNone(self.agents.find_searcher(OTHER_SERVICE, flow))

    def test_flow_that_all_services_deny_is_lost(self):
        # Guards against a lost flow whose caller is never reset.
        self._record(HOME, SERVICE)
        denied = self._record(OTHER_HOME, OTHER_SERVICE)
        self.assertTrue(self.denials.is_lost(denied))
        self.assertEqual((HOME, SERVICE), (denied.home, denied.service))

    def test_denial_is_void_once_an_agent_of_the_service_has_returned(self):
        # Guards against the reset of a flow that an agent holds which was
        # cut off when its service denied the flow.
        self._record(HOME, SERVICE)
        self.agents.returns.record(make_address(3), SERVICE, silent_s=7.0)
        denied = self._record(OTHER_HOME, OTHER_SERVICE)
        self.assertFalse(self.denials.is_lost(denied))
        self.assertEqual({SERVICE}, self.denials.take_unasked(denied))

    def test_denials_that_are_far_apart_are_not_combined(self):
        # Guards against the reset of a flow that a caller has opened with
        # the ports of one that a service has denied before.
        self._record(HOME, SERVICE)
        self.timers.advance(DENIAL_TIMEOUT_S + 0.1)
        self.assertFalse(
            self.denials.is_lost(self._record(OTHER_HOME, OTHER_SERVICE))
        )
        acknowledged = 7001 + MAX_SEQUENCE_STEP + 1
        self.assertFalse(
            self.denials.is_lost(self._record(HOME, SERVICE, acknowledged))
        )

    def test_unknown_agents_leave_the_decision_open(self):
        # Guards against a reset by a balancer that does not know the
        # service of an agent, or has not read the list of members.
        self._record(HOME, SERVICE)
        denied = self._record(OTHER_HOME, OTHER_SERVICE)
        self.agents.knowledge = MemberKnowledge(self.timers)
        self.assertFalse(self.denials.is_lost(denied))
        self._list_members()
        self.agents.add(make_address(3))
        self.assertFalse(self.denials.is_lost(denied))


class LostNoticeTest(TestCase):
    def test_notice_about_a_flow_that_was_not_denied_is_ignored(self):
        # Guards against the reset of an open flow by a late or stray
        # datagram of a balancer.
        outbox = RecordingOutbox()
        timers = VirtualTimerService(start_s=100.0)
        agent = AgentSteering(make_identity(), timers, outbox)
        lost = make_message(PeerKind.LOST, body=make_flow())
        agent.handle_peer_message(make_address(1, network=9), lost, None)
        timers.advance(1)
        self.assertEqual([], outbox.resets)
