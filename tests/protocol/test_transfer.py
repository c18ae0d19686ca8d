"""Transfers over a lossy, reordering and duplicating path."""

import heapq
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.protocol.acks import Ack, decode_ack, encode_ack
from greengagepath.protocol.packets import MAX_BODY_BYTES
from greengagepath.protocol.transfer import (
    PART_BYTES,
    PartOutcome,
    PartReceiver,
    PartSender,
    count_parts,
)

ONE_WAY_S = 0.001
DATAGRAM_S = 20e-6


class LossyPath:
    """Moves datagrams between a sender and a receiver in virtual time."""

    def __init__(self, sender, receiver, seed, loss, spread_s):
        self.sender = sender
        self.receiver = receiver
        self.random = Random(seed)
        self.loss = loss
        self.spread_s = spread_s
        self.events = []
        self.order = 0
        self.now_s = 0.0

    def run(self, limit_s):
        while not self.sender.is_complete and self.now_s < limit_s:
            self.send_parts()
            self.step()
        return self.now_s

    def send_parts(self):
        part = self.sender.next_part(self.now_s)
        while part is not None:
            self.push('part', part)
            self.now_s += DATAGRAM_S
            part = self.sender.next_part(self.now_s)

    def push(self, kind, value):
        for _ in range(2 if self.random.randrange(50) == 0 else 1):
            if self.random.random() >= self.loss:
                delay_s = ONE_WAY_S + self.random.random() * self.spread_s
                self.order += 1
                heapq.heappush(
                    self.events,
                    (self.now_s + delay_s, self.order, kind, value),
                )

    def step(self):
        due = [self.sender.due_s(), self.receiver.ack_due_s()]
        due += [self.events[0][0]] if self.events else []
        due = [moment for moment in due if moment is not None]
        self.now_s = max(self.now_s, min(due))
        while self.events and self.events[0][0] <= self.now_s:
            self.deliver(*heapq.heappop(self.events)[2:])
        if self.receiver.is_ack_due(self.now_s):
            self.push('ack', encode_ack(self.receiver.build_ack()))
        self.sender.check_timeout(self.now_s)

    def deliver(self, kind, value):
        if kind == 'part':
            body = self.sender.body(value)
            self.receiver.accept(
                value, self.receiver.part_count, body, self.now_s
            )
            return
        assert self.sender.acknowledge(decode_ack(value).unwrap(), self.now_s)


def transfer(payload, seed, loss, spread_s, limit_s=60.0):
    sender = PartSender(payload, 0.0)
    receiver = PartReceiver(sender.part_count)
    path = LossyPath(sender, receiver, seed, loss, spread_s)
    path.run(limit_s)
    return path


class TransferTest(TestCase):
    def test_large_answer_over_a_bad_path(self):
        # Guards against a window that collapses under random loss.
        payload = Random(1).randbytes(20_000_000)
        path = transfer(payload, seed=1, loss=0.02, spread_s=0.002)
        self.assertEqual(payload, path.receiver.payload())
        self.assertLess(path.now_s, 5.0)
        resent = path.sender.retransmitted / path.sender.part_count
        self.assertLess(resent, 0.1)

    @given(
        size=st.integers(0, 200_000),
        seed=st.integers(0, 1000),
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        spread_s=st.sampled_from([0.0, 0.002, 0.02]),
    )
    def test_payload_arrives_whole(self, size, seed, loss, spread_s):
        # Guards against lost, duplicated or reordered parts of an answer.
        payload = Random(seed).randbytes(size)
        path = transfer(payload, seed, loss, spread_s)
        self.assertTrue(path.sender.is_complete)
        self.assertEqual(payload, path.receiver.payload())

    def test_silent_peer_fails_the_transfer(self):
        # Guards against a sender that retransmits forever.
        sender = PartSender(b'x' * 5000, 0.0)
        now_s = 0.0
        sent = 0
        while not sender.has_failed(now_s):
            while sender.next_part(now_s) is not None:
                sent += 1
            now_s = max(now_s + 0.001, sender.due_s() or now_s)
            sender.check_timeout(now_s)
        self.assertLess(now_s, 20)
        self.assertLess(sent, 150)

    def test_parts_of_wrong_size_are_dropped(self):
        # Guards against a forged part that corrupts the payload.
        receiver = PartReceiver(3)
        whole = bytes(PART_BYTES)
        for part, count, body in (
            (0, 4, whole),
            (3, 3, whole),
            (0, 3, b'short'),
            (2, 3, bytes(PART_BYTES + 1)),
        ):
            outcome = receiver.accept(part, count, body, 0.0)
            self.assertIs(PartOutcome.INVALID, outcome)
        self.assertIsNone(receiver.ack_due_s())

    def test_ack_of_unsent_parts_is_refused(self):
        # Guards against a forged ACK that ends a transfer early.
        sender = PartSender(bytes(5 * PART_BYTES), 0.0)
        sender.next_part(0.0)
        self.assertFalse(sender.acknowledge(Ack(5, 5), 0.1))
        self.assertFalse(sender.is_complete)

    def test_ack_stays_within_a_datagram(self):
        # Guards against an oversized ACK when every second part is lost.
        receiver = PartReceiver(2000)
        for part in range(1, 1999, 2):
            receiver.accept(part, 2000, bytes(PART_BYTES), 0.0)
        ack = receiver.build_ack()
        self.assertLessEqual(len(encode_ack(ack)), MAX_BODY_BYTES)
        self.assertEqual(ack.missing[-1][1] + 1, ack.end)


class AckDecoderTest(TestCase):
    @given(st.binary(max_size=1300))
    def test_any_bytes_are_decoded_or_refused(self, body):
        # Guards against an exception that ends the process.
        decoded = decode_ack(body)
        if decoded.is_ok():
            self.assertEqual(body, encode_ack(decoded.unwrap()))

    @given(
        st.integers(1, 300), st.lists(st.tuples(st.integers(), st.integers()))
    )
    def test_any_ack_leaves_the_sender_consistent(self, parts, forged):
        # Guards against forged ranges that break the sender's counters.
        sender = PartSender(bytes(parts * PART_BYTES), 0.0)
        for _ in range(20):
            sender.next_part(0.0)
        for cumulative, end in forged:
            ack = Ack(abs(cumulative) % 400, abs(end) % 400)
            body = encode_ack(ack)
            if decode_ack(body).is_ok():
                sender.acknowledge(ack, 0.01)
        self.assertGreaterEqual(sender._in_flight, 0)
        self.assertEqual(parts, count_parts(parts * PART_BYTES))
