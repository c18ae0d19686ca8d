from testtools import TestCase

from greengagepath.agent.flow_table import FLOW_LIFETIME_S, IDLE_S, REORDER_S
from greengagepath.agent.openings import MAX_HAND_OFFS
from greengagepath.generated.messages import (
    Limits,
    Operation,
    Refusal,
    RefusalReason,
    SizeClass,
)
from greengagepath.protocol.packets import DropReason, Kind, ServiceDatagram
from greengagepath.routing.choice import ProbeState

from .world import (
    BALANCER,
    OTHER_AGENT,
    SERVICE_ID,
    SentRequest,
    World,
    build_service,
)


class AgentFlowsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = World()
        self.agent = self.world.agent

    def test_request_is_answered(self):
        # Guards against a failure in the basic exchange: a request in several
        # parts, its answer, and the release of the answer after its ACK.
        attempt = self.world.request(self.world.open_flow(), parts=3)
        self.world.finish(0, 'answered', b'done')
        answer = self.world.answers_by_attempt[attempt]
        self.assertEqual((200, b'done'), (answer.status, answer.body))
        self.assertEqual('target-1', answer.target_id)
        self.world.acknowledge(attempt)
        self.assertTrue(self.agent.is_idle)
        self.assertEqual(0, self.agent.request_table.records.answer_bytes)

    def test_lost_refusal_is_repeated_on_ping(self):
        # Guards against a caller that waits until its deadline because the
        # datagram with the refusal was lost.
        attempt = self.world.request(self.world.open_flow(), deadline_ms=0)
        self.world.replies_by_attempt.clear()
        self.world.send_in_flow(self.world.flows[0], Kind.PING, attempt[1])
        reasons = [
            reply.reason
            for reply in self.world.replies_by_attempt[attempt]
            if isinstance(reply, Refusal)
        ]
        self.assertEqual([RefusalReason.deadline], reasons)

    def test_lost_parts_of_an_answer_are_sent_again(self):
        # Guards against an answer that stays incomplete because lost parts
        # are not retransmitted.
        attempt = self.world.request(self.world.open_flow())
        self.world.finish(0, 'answered', bytes(4000))
        self.world.receivers_by_attempt.clear()
        self.world.answers_by_attempt.clear()
        self.world.advance(3.0)
        self.assertIn(attempt, self.world.answers_by_attempt)

    def test_answer_is_kept_for_a_caller_that_returns(self):
        # Guards against an answer that is dropped when its transfer fails;
        # the caller may be unreachable for a time and then ask for it.
        attempt = self.world.request(self.world.open_flow())
        self.world.finish(0, 'answered', b'kept')
        self.world.advance(20.0)
        self.assertTrue(self.agent.is_idle)
        self.world.answers_by_attempt.clear()
        self.world.send_in_flow(self.world.flows[0], Kind.PING, attempt[1])
        self.assertEqual(b'kept', self.world.answers_by_attempt[attempt].body)

    def test_token_of_earlier_incarnation_has_unknown_outcome(self):
        # Guards against a restarted agent that has lost its records and runs
        # requests of earlier flows again.
        flow = self.world.open_flow()
        self.world.restart()
        attempt = self.world.request(flow)
        self.assertEqual(
            [Kind.UNKNOWN_OUTCOME], self.world.replies_by_attempt[attempt]
        )
        self.assertEqual([], self.world.running)

    def test_old_flow_begins_no_request(self):
        # Guards against requests that begin so late that their duplicates
        # arrive after the entry of the flow was removed.
        flow = self.world.open_flow()
        self.world.advance(FLOW_LIFETIME_S + 1)
        attempt = self.world.request(flow)
        refusal = self.world.replies_by_attempt[attempt][-1]
        self.assertEqual(RefusalReason.flow_expired, refusal.reason)

    def test_second_attempt_of_a_running_request_does_not_run(self):
        # Guards against a check of attempts within one flow only, which lets
        # a retry in another flow run the same request again.
        first = self.world.request(self.world.open_flow())
        other = self.world.open_flow()
        again = self.world.request(
            other, request=self.world.requests_by_attempt[first]
        )
        self.assertEqual(1, len(self.world.running))
        self.assertIn(
            Kind.UNKNOWN_OUTCOME, self.world.replies_by_attempt[again]
        )

    def test_answers_go_to_the_newest_address(self):
        # Guards against answers to the old address after a caller has changed
        # it, and against a late datagram from there that changes it back.
        flow = self.world.open_flow(('198.51.100.1', 1))
        attempt = self.world.request(flow)
        flow.caller = ('198.51.100.1', 2)
        flow.callers = {flow.caller}
        self.world.send_in_flow(flow, Kind.PING, attempt[1])
        late = self.world.datagram(flow, Kind.CANCEL, 99)
        entry = self.agent.flow_table.find(flow.flow_id)
        self.agent.receive(self.world.seal(late, ('198.51.100.1', 1)), BALANCER)
        self.assertEqual(flow.caller, entry.caller)
        self.world.timers.advance(REORDER_S)
        self.agent.receive(self.world.seal(late, ('198.51.100.1', 1)), BALANCER)
        self.assertEqual(('198.51.100.1', 1), entry.caller)

    def test_replayed_envelope_is_dropped(self):
        # Guards against replays of envelopes from other processes of the
        # system.
        self.world.open_flow()
        self.world.receive(self.world.sealed[-1])
        self.assertEqual(1, self.agent.drops[DropReason.REPLAYED])

    def test_foreign_and_malformed_datagrams_are_counted(self):
        # Guards against invalid datagrams that raise an exception, which ends
        # the process, or that are not counted under their reason.
        flow = self.world.open_flow()
        sealed = self.world.sealed[-1]
        wrong_service = ServiceDatagram(Kind.OPEN, 8, 1, body=bytes(32))
        self.world.send(wrong_service, flow.caller)
        short = ServiceDatagram(Kind.OPEN, SERVICE_ID, 1)
        self.world.send(short, flow.caller)
        flow.token = bytes(16) + flow.token[16:]
        self.world.send_in_flow(flow, Kind.PING, 1)
        for datagram in (b'', b'x', sealed[:40], sealed[:-1]):
            self.agent.receive(datagram, BALANCER)
        self.assertEqual(
            {
                DropReason.UNKNOWN_SERVICE: 1,
                DropReason.TRUNCATED: 4,
                DropReason.BAD_TOKEN: 1,
                DropReason.BAD_TAG: 1,
            },
            dict(self.agent.drops),
        )

    def test_open_is_handed_off_when_draining(self):
        # Guards against new flows at a target that is about to stop.
        self.agent.start_draining()
        self.world.open_flow(alternates=(OTHER_AGENT, BALANCER))
        outgoing, datagram = self.world.to_peers[-1]
        self.assertEqual(OTHER_AGENT, outgoing.address)
        self.assertEqual(Kind.OPEN, datagram.kind)
        self.assertEqual([], self.world.flows)

    def test_incomplete_request_is_refused_when_draining(self):
        # Guards against callers that go on sending parts to a target that
        # will not run the request, and against a drain that never ends.
        flow = self.world.open_flow()
        request = SentRequest(bytes(16), parts=3)
        parts = self.world.request_datagrams(flow, 1, request)
        self.world.send(parts[0], flow.caller)
        self.world.drain()
        refusal = self.world.replies_by_attempt[flow.flow_id, 1][-1]
        self.assertEqual(RefusalReason.draining, refusal.reason)
        self.assertTrue(self.agent.is_idle)

    def test_open_is_refused_after_the_last_hand_off(self):
        # Guards against an OPEN that is passed between full or draining
        # agents without end.
        self.agent.start_draining()
        self.world.open_flow(alternates=(OTHER_AGENT,), hops=MAX_HAND_OFFS)
        self.assertEqual([], self.world.to_peers)
        self.assertIn([Kind.REFUSE], self.world.replies_by_attempt.values())

    def test_probe_reports_the_load(self):
        # Guards against wrong load figures in probe replies, by which
        # balancers choose targets.
        flow = self.world.open_flow()
        for _ in range(3):
            self.world.request(flow)
        self.world.finish(0, 'answered')
        probe = ServiceDatagram(Kind.PROBE, SERVICE_ID, 55)
        self.world.send(probe, BALANCER)
        outgoing, reply = self.world.to_peers[-1]
        self.assertEqual(BALANCER, outgoing.address)
        self.assertEqual((Kind.PROBE_REPLY, 55), (reply.kind, reply.flow_id))
        self.assertEqual(2, int.from_bytes(reply.body[:2], 'big'))
        self.assertEqual(ProbeState.ACCEPTING, reply.body[-1])

    def test_failing_back_end_is_reported_until_the_rate_decays(self):
        # Guards against a failing target that balancers go on choosing, and
        # against one that they never choose again because, without requests,
        # its failure rate does not fall.
        flow = self.world.open_flow()
        states = []
        for _ in range(10):
            self.world.request(flow)
            self.world.finish(0, 'unknown')
        for _ in range(2):
            self.world.send(
                ServiceDatagram(Kind.PROBE, SERVICE_ID, 1), BALANCER
            )
            states.append(self.world.to_peers[-1][1].body[-1])
            for _ in range(3):
                self.world.advance(5.0)
        self.assertEqual([ProbeState.FAILING, ProbeState.ACCEPTING], states)

    def test_running_request_is_cancelled_at_the_back_end(self):
        # Guards against "not run" for a request that was cancelled while it
        # ran at the back end.
        attempt = self.world.request(self.world.open_flow())
        self.world.send_in_flow(self.world.flows[0], Kind.CANCEL, attempt[1])
        self.assertEqual(self.world.running, self.world.cancelled)
        self.world.finish(0, 'unknown')
        self.assertEqual(
            Kind.UNKNOWN_OUTCOME, self.world.replies_by_attempt[attempt][-1]
        )

    def test_request_that_was_not_run_is_retried_at_most_twice(self):
        # Guards against unlimited retries, which overload the back end, and
        # against a refusal after the first failed connection.
        attempt = self.world.request(self.world.open_flow())
        for _ in range(3):
            self.world.finish(0, 'not_run')
            self.world.advance(0.2)
        self.assertEqual(3, self.world.started_by_attempt[attempt])
        refusal = self.world.replies_by_attempt[attempt][-1]
        self.assertEqual(RefusalReason.no_target, refusal.reason)

    def test_cancelled_request_is_not_tried_again(self):
        # Guards against a retry that runs a request after its caller got a
        # refusal, which promises that it was not run.
        attempt = self.world.request(self.world.open_flow())
        self.world.finish(0, 'not_run')
        self.world.send_in_flow(self.world.flows[0], Kind.CANCEL, attempt[1])
        self.world.advance(1.0)
        refusal = self.world.replies_by_attempt[attempt][-1]
        self.assertEqual(RefusalReason.cancelled, refusal.reason)
        self.assertEqual(1, self.world.started_by_attempt[attempt])

    def test_duplicate_of_a_refused_request_is_refused_again(self):
        # Guards against an unknown outcome for a retransmitted request whose
        # refusal was lost.
        self.world.request(self.world.open_flow(), deadline_ms=0)
        datagram, caller = self.world.sent[-1]
        self.world.send(datagram, caller)
        replies = self.world.replies_by_attempt[datagram.flow_id, 1]
        refusals = [entry for entry in replies if isinstance(entry, Refusal)]
        self.assertEqual(2, len(refusals))

    def test_duplicate_of_a_running_request_is_acknowledged(self):
        # Guards against a caller that keeps retransmitting a request because
        # the ACK was lost, and against a second run of it.
        self.world.request(self.world.open_flow())
        datagram, caller = self.world.sent[-1]
        self.world.send(datagram, caller)
        replies = self.world.replies_by_attempt[datagram.flow_id, 1]
        self.assertEqual([Kind.REQUEST_ACK, Kind.REQUEST_ACK], replies)
        self.assertEqual(1, len(self.world.running))

    def test_request_runs_once_after_its_record_was_evicted(self):
        # Guards against a duplicate that runs again because the record of its
        # request was evicted.
        world = World(Limits(slots=2, request_records=1))
        flow = world.open_flow()
        for _ in range(2):
            attempt = world.request(flow)
            world.finish(0, 'answered')
            world.acknowledge(attempt)
        self.assertIsNone(world.agent.request_table.find((flow.flow_id, 1)))
        datagram, caller = world.sent[1]
        world.send(datagram, caller)
        self.assertEqual([], world.running)
        self.assertIn(
            Kind.UNKNOWN_OUTCOME, world.replies_by_attempt[flow.flow_id, 1]
        )

    def test_cancel_that_overtakes_its_request_holds(self):
        # Guards against a request that runs because its cancellation arrived
        # first and was not recorded.
        flow = self.world.open_flow()
        self.world.send_in_flow(flow, Kind.CANCEL, flow.next_number)
        attempt = self.world.request(flow)
        reasons = {
            entry.reason for entry in self.world.replies_by_attempt[attempt]
        }
        self.assertEqual({RefusalReason.cancelled}, reasons)
        self.assertEqual([], self.world.running)

    def test_full_request_table_refuses(self):
        # Guards against a full table that evicts the records of requests that
        # are queued or running.
        world = World(Limits(slots=1, queue_length=5, request_records=2))
        flow = world.open_flow()
        attempts = [world.request(flow) for _ in range(3)]
        refusal = world.replies_by_attempt[attempts[2]][-1]
        self.assertEqual(RefusalReason.table_full, refusal.reason)

    def test_unfetched_answers_hold_back_new_work(self):
        # Guards against unbounded memory for answers that callers do not
        # acknowledge.
        world = World(Limits(slots=2, max_answer_bytes=1024))
        flow = world.open_flow()
        for _ in range(4):
            world.request(flow)
        world.finish(0, 'answered', bytes(1000))
        world.finish(0, 'answered', bytes(1000))
        world.finish(0, 'answered', bytes(1000))
        self.assertEqual([], world.running)
        for number in (1, 2):
            world.acknowledge((flow.flow_id, number))
        world.pump()
        self.assertEqual(1, len(world.running))

    def test_operation_comes_from_the_configuration(self):
        # Guards against callers that override the configuration by declaring
        # an operation idempotent or its requests short.
        operation = Operation(
            name='order',
            method='POST',
            path_prefix='/orders',
            idempotent=False,
            size_class=SizeClass.long,
        )
        world = World(service=build_service(operations=[operation]))
        world.request(world.open_flow(), idempotent=True)
        work = world.running[0]
        self.assertEqual(SizeClass.long, work.queued.size_class)
        self.assertFalse(world.agent.view.is_idempotent(work.request))


class FlowTableTest(TestCase):
    def test_full_table_never_runs_what_it_refused(self):
        # Guards against a refused request whose duplicate runs once the table
        # has room again.
        world = World()
        flows = [world.open_flow() for _ in range(7)]
        attempts = [world.request(flow) for flow in flows]
        refusal = world.replies_by_attempt[attempts[6]][-1]
        self.assertEqual(RefusalReason.flow_expired, refusal.reason)
        while world.running:
            world.finish(0, 'answered')
        for attempt in world.answers_by_attempt:
            world.acknowledge(attempt)
        world.advance(10 * IDLE_S)
        datagram, caller = world.sent[13]
        self.assertEqual(flows[6].flow_id, datagram.flow_id)
        world.send(datagram, caller)
        self.assertEqual([], world.running)
        self.assertNotIn(attempts[6], world.started_by_attempt)

    def test_evicted_flow_runs_nothing_again(self):
        # Guards against a duplicate that runs again because the entry of its
        # flow was evicted before it arrived.
        world = World()
        for _ in range(6 * 16 + 10):
            attempt = world.request(world.open_flow())
            world.finish(0, 'answered')
            world.acknowledge(attempt)
            world.advance(IDLE_S + 1)
        self.assertLessEqual(len(world.agent.flow_table), 6 * 16)
        first, caller = world.sent[1]
        self.assertEqual(Kind.REQUEST, first.kind)
        self.assertIsNone(world.agent.flow_table.find(first.flow_id))
        world.send(first, caller)
        self.assertEqual([], world.running)
        self.assertEqual(
            Kind.UNKNOWN_OUTCOME,
            world.replies_by_attempt[first.flow_id, 1][-1],
        )
