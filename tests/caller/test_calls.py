"""Tests calls in virtual time against fake targets."""

from itertools import repeat
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.caller.call_types import CallDrop, CallErrorKind
from greengagepath.caller.calls import Call
from greengagepath.caller.flows import Flow
from greengagepath.generated.messages import RefusalReason
from greengagepath.protocol.packets import (
    Kind,
    ServiceDatagram,
    decode_service_datagram,
)

from .builders import (
    SERVICE,
    FakeTarget,
    build_request,
    build_setup,
    build_world,
)


class AnswerTest(TestCase):
    @given(
        seed=st.integers(0, 10_000),
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        spread_s=st.sampled_from([0.0, 0.01]),
        answer_bytes=st.sampled_from([0, 1200, 40_000]),
        request_bytes=st.sampled_from([0, 5000]),
    )
    def test_whole_answer_and_one_run(
        self, seed, loss, spread_s, answer_bytes, request_bytes
    ):
        # Guards against incomplete answers and requests that run twice
        # when the network loses, reorders and duplicates datagrams.
        target = FakeTarget('a', answer_bytes)
        request = build_request(body=bytes(request_bytes))
        world = build_world(
            [target], request, seed=seed, loss=loss, spread_s=spread_s
        )
        answer = world.run().unwrap()
        self.assertEqual(target.answer_body(request.request_id), answer.body)
        self.assertEqual({request.request_id: 1}, target.runs)

    def test_second_accept_is_dropped(self):
        # Guards against a request that is sent to two targets after
        # both have accepted the same OPEN.
        targets = [FakeTarget('a'), FakeTarget('b')]
        setup = build_setup()
        world = build_world(targets, setup=setup)
        # The same OPEN reaches both targets.
        opening = world.call.datagrams(0.0)[0]
        world.send_to_target(opening)
        world.send_to_target(opening)
        self.assertTrue(world.run().is_ok())
        self.assertEqual(2, world.open_count)
        self.assertEqual(1, sum(each.runs.total() for each in targets))
        self.assertEqual(1, setup.drops[CallDrop.LATE_ACCEPT])


class RefusalTest(TestCase):
    def test_refused_request_is_retried_at_another_target(self):
        # Guards against a call that fails because one target is full
        # while another has room.
        targets = [FakeTarget('a'), FakeTarget('b')]
        targets[0].refusals = [RefusalReason.queue_full]
        setup = build_setup()
        world = build_world(targets, setup=setup)
        self.assertTrue(world.run().is_ok())
        self.assertEqual(1, setup.events['retries'])

    def test_retry_budget_limits_retries(self):
        # Guards against retries that make an overload worse.
        target = FakeTarget('a')
        target.refusals = list(repeat(RefusalReason.queue_full, 10))
        world = build_world([target], setup=build_setup(retry_share=0.0))
        error = world.run().unwrap_err()
        self.assertEqual(CallErrorKind.REFUSED, error.kind)
        self.assertTrue(error.not_run)
        self.assertEqual(1, world.open_count)

    def test_no_retry_after_the_deadline(self):
        # Guards against retries that run after the caller has stopped
        # waiting.
        target = FakeTarget('a')
        target.refusals = list(repeat(RefusalReason.queue_full, 100))
        setup = build_setup(max_retries=1000, backoff_s=0.2)
        world = build_world([target], setup=setup, deadline_s=1.0)
        world.run()
        self.assertLessEqual(world.ended_s, 1.0 + 0.1)

    def test_redirect_from_draining_target_needs_no_budget(self):
        # Guards against calls that fail during a planned drain because
        # the retry budget is spent.
        targets = [FakeTarget('a'), FakeTarget('b')]
        targets[0].refusals = [RefusalReason.draining]
        world = build_world(targets, setup=build_setup(retry_share=0.0))
        self.assertTrue(world.run().is_ok())
        self.assertLess(world.ended_s, 0.1)


class UnknownOutcomeTest(TestCase):
    def run_with_restart(self, idempotent):
        targets = [FakeTarget('a'), FakeTarget('b')]
        targets[0].has_restarted = True
        request = build_request(idempotent=idempotent)
        world = build_world(targets, request)
        return world.run(), targets[1].runs

    def test_non_idempotent_request_is_not_repeated(self):
        # Guards against an order that is placed twice because it is
        # repeated after the target has restarted.
        outcome, runs = self.run_with_restart(idempotent=False)
        error = outcome.unwrap_err()
        self.assertEqual(CallErrorKind.UNKNOWN_OUTCOME, error.kind)
        self.assertFalse(error.not_run)
        self.assertFalse(runs)

    def test_idempotent_request_is_repeated(self):
        # Guards against a lookup that fails when its target restarts.
        outcome, runs = self.run_with_restart(idempotent=True)
        self.assertTrue(outcome.is_ok())
        self.assertEqual(1, runs.total())

    def test_idempotent_request_is_repeated_after_silence(self):
        # Guards against a lookup that waits until its deadline for a
        # target that stopped responding.
        targets = [FakeTarget('a', duration_s=100), FakeTarget('b')]
        world = build_world(targets, build_request(idempotent=True))
        silence = {targets[0].token()}
        world.intercept = lambda encoded: (
            []
            if encoded[16:48] in silence and encoded[2] != Kind.ACCEPT
            else [encoded]
        )
        self.assertTrue(world.run().is_ok())
        self.assertLess(world.ended_s, 5.5)


class SilentFlowTest(TestCase):
    def test_silent_flow_moves_to_a_new_port(self):
        # Guards against a request that is lost or repeated when its
        # flow goes silent permanently while new flows work.
        target = FakeTarget('a', duration_s=3.0)
        setup = build_setup()
        world = build_world([target], setup=setup)
        world.schedule(0.1, lambda when_s: world.silent_ports.add(0))
        # The answer goes to the port of the latest PING.
        world.send_to_caller = lambda encoded, port: world.transmit(
            lambda when_s: world.deliver_to_caller(
                encoded, max(port, world.port), when_s
            )
        )
        self.assertTrue(world.run().is_ok())
        self.assertEqual(1, target.runs.total())
        self.assertEqual(1, setup.events['port_moves'])
        self.assertLess(world.ended_s, 3.5)

    def test_silent_idle_flow_is_replaced(self):
        # Guards against a request that is sent on a flow whose target
        # has left while the flow was idle.
        targets = [FakeTarget('a'), FakeTarget('b')]
        flow = Flow(SERVICE, 5, b'gone'.ljust(32, b'.'), -10.0)
        targets[0].answers_open = True
        world = build_world(targets, flow=flow)
        world.targets_by_token[flow.token] = FakeTarget('gone')
        world.targets_by_token[flow.token].receive = lambda *_: None
        self.assertTrue(world.run().is_ok())
        self.assertLess(world.ended_s, 2.0)

    def test_idle_flow_of_a_restarted_target_is_replaced(self):
        # Guards against the error "may have run" for a request that was
        # not sent: the restarted target replies UNKNOWN_OUTCOME to PING.
        targets = [FakeTarget('a')]
        flow = Flow(SERVICE, 5, b'old'.ljust(32, b'.'), -10.0)
        world = build_world(targets, flow=flow)
        restarted = FakeTarget('old')
        restarted.receive = lambda datagram, now_s, reply, schedule: reply(
            restarted.reply_to(datagram, Kind.UNKNOWN_OUTCOME)
        )
        world.targets_by_token[flow.token] = restarted
        self.assertTrue(world.run().is_ok())
        self.assertEqual(1, targets[0].runs.total())


class EndTest(TestCase):
    def test_deadline_cancels_the_request(self):
        # Guards against a target that still runs a request after its
        # deadline.
        target = FakeTarget('a', duration_s=5.0)
        world = build_world([target], deadline_s=1.0)
        error = world.run().unwrap_err()
        self.assertEqual(CallErrorKind.DEADLINE, error.kind)
        self.assertFalse(error.not_run)
        self.assertTrue(target.cancelled)

    def test_cancellation_before_the_request_is_sent(self):
        # Guards against the error "may have run" for a request that has
        # certainly not run.
        world = build_world([FakeTarget('a')])
        world.call.cancel()
        error = world.call.outcome.unwrap_err()
        self.assertEqual(CallErrorKind.CANCELLED, error.kind)
        self.assertTrue(error.not_run)

    def test_unreachable_service(self):
        # Guards against OPEN that is resent without limit if no target
        # replies.
        target = FakeTarget('a')
        target.answers_open = False
        world = build_world([target])
        error = world.run().unwrap_err()
        self.assertEqual(CallErrorKind.UNREACHABLE, error.kind)
        self.assertTrue(error.not_run)
        self.assertLess(world.sent_by_kind[Kind.OPEN], 25)

    def test_large_answer_is_refused(self):
        # Guards against memory use beyond the limit for an answer that
        # is larger than allowed.
        target = FakeTarget('a', answer_bytes=50_000)
        setup = build_setup(max_answer_bytes=10_000)
        error = build_world([target], setup=setup).run().unwrap_err()
        self.assertEqual(CallErrorKind.ANSWER_TOO_LARGE, error.kind)


class ForeignDatagramTest(TestCase):
    def run_with(self, change):
        target = FakeTarget('a')
        setup = build_setup()
        world = build_world([target], setup=setup)

        def intercept(encoded):
            datagram = decode_service_datagram(encoded).unwrap()
            forged = change(datagram)
            return [encoded if forged is None else forged, encoded]

        world.intercept = intercept
        answer = world.run().unwrap()
        self.assertEqual(
            target.answer_body(build_request().request_id), answer.body
        )
        return setup.drops

    def test_answer_of_another_flow(self):
        # Guards against an answer that reaches the wrong caller: the
        # datagram has the id of another flow.
        def change(datagram):
            datagram = datagram.encode()
            return b''.join((datagram[:8], b'otherflo', datagram[16:]))

        self.assertGreater(self.run_with(change)[CallDrop.WRONG_FLOW], 0)

    def test_answer_of_another_request(self):
        # Guards against an answer to another request of the same flow
        # that is taken for the answer to this one.
        def change(datagram):
            encoded = datagram.encode()
            return b''.join((encoded[:48], b'\0\0\0\x63', encoded[52:]))

        self.assertGreater(self.run_with(change)[CallDrop.WRONG_REQUEST], 0)

    def test_truncated_datagrams(self):
        # Guards against an exception in the caller on a datagram that
        # is too short.
        drops = self.run_with(lambda datagram: datagram.encode()[:59])
        self.assertGreater(drops[CallDrop.MALFORMED], 0)

    @given(st.integers(0, 2**32), st.sampled_from(Kind), st.binary())
    def test_any_datagram_of_the_flow(self, seed, kind, body):
        # Guards against an exception in the caller on datagrams of any
        # kind and with any body.
        source = Random(seed)
        flow = Flow(SERVICE, 5, b't' * 32, 0.0)
        call = Call(SERVICE, build_request(), build_setup(), 10.0, 0.0, flow)
        call.datagrams(0.0)
        datagram = ServiceDatagram(
            kind=kind,
            service_id=SERVICE.service_id,
            flow_id=5,
            token=flow.token,
            request_number=source.choice([0, 1, 2]),
            part=source.choice([0, 1, 2**32 - 1]),
            part_count=source.choice([0, 1, 2, 2**32 - 1]),
            body=body[:1200],
        )
        call.receive(datagram.encode(), 0.1)
        call.check_due(0.2)
        call.datagrams(0.2)
