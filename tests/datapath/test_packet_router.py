"""Routing of datagrams by a balancer, without sockets."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.datapath.probing import ProbeLoad, decode_load, encode_load
from greengagepath.protocol.envelopes import (
    Envelope,
    open_envelope,
    seal_envelope,
)
from greengagepath.protocol.packets import (
    DropReason,
    Kind,
    ServiceDatagram,
    decode_fabric_header,
    decode_service_datagram,
)
from greengagepath.protocol.tokens import VerifiedTokenCache
from greengagepath.routing.choice import ProbeState

from .builders import (
    CALLER,
    OWN,
    SERVICE,
    TOKEN_KINDS,
    build_key,
    build_keys,
    build_packet,
    build_router,
    build_target,
    build_token,
    unseal,
)

TARGET = ('127.0.0.1', 5001)


class EstablishedFlowTest(TestCase):
    @given(
        flow_ids=st.lists(st.integers(0, 2**64 - 1), min_size=1, max_size=20),
        first=st.sets(st.integers(1, 30)),
        second=st.sets(st.integers(1, 30)),
        kind=st.sampled_from(TOKEN_KINDS),
        seed=st.integers(0, 100),
    )
    def test_balancers_route_alike(self, flow_ids, first, second, kind, seed):
        # Guards against a flow that breaks because it reaches a balancer
        # with another target set or an empty cache.
        keys = build_keys()
        source = Random(seed)
        known = build_router([build_target(each) for each in first], keys)
        other = build_router([build_target(each) for each in second], keys)
        bare = build_router([], keys, verified_tokens=0)
        routers = [known, other, bare]
        for flow_id in flow_ids * 2:
            owner = ('127.0.0.1', 5000 + source.randrange(1, 60))
            token = build_token(keys, flow_id, owner)
            packet = build_packet(kind, flow_id, token=token)
            for each in routers:
                each.router.route(packet)
                sealed, address = each.sent[-1]
                self.assertEqual(owner, address)
                envelope, datagram = unseal(keys, sealed)
                self.assertEqual(CALLER, envelope.caller)
                self.assertEqual(SERVICE, envelope.service)
                self.assertEqual(packet[16:], datagram.encode())

    def test_token_of_another_flow_or_service(self):
        # Guards against a packet that reaches a wrong service.
        for fields in (
            {'flow_id': 2},
            {'flow_id': 1, 'service_id': 8},
        ):
            each = build_router()
            token = build_token(each.dependencies.keys, 1)
            valid = build_packet(Kind.REQUEST, 1, token=token)
            each.router.route(valid)
            each.router.route(build_packet(Kind.REQUEST, token=token, **fields))
            self.assertEqual(1, each.dropped[DropReason.BAD_TOKEN])
            self.assertEqual(1, len(each.sent))

    def test_replaced_key_ends_cached_tokens(self):
        # Guards against tokens of a removed key that still pass.
        each = build_router()
        keys = each.dependencies.keys
        packet = build_packet(Kind.PING, 1, token=build_token(keys, 1))
        each.router.route(packet)
        keys.replace_keys([build_key(2)])
        each.router.forwarder.refresh_replaced_keys()
        each.router.route(packet)
        self.assertEqual(1, each.dropped[DropReason.BAD_TOKEN])

    def test_expired_key_ends_cached_tokens(self):
        # Guards against tokens that outlive their key in the cache.
        now_s = [0.0]
        keys = build_keys(build_key(1, 10.0), clock=lambda: now_s[0])
        each = build_router(keys=keys)
        packet = build_packet(Kind.PING, 1, token=build_token(keys, 1))
        each.router.route(packet)
        now_s[0] = 11.0
        each.router.forwarder.refresh_keys()
        each.router.route(packet)
        self.assertEqual(1, each.dropped[DropReason.BAD_TOKEN])
        self.assertEqual(1, len(each.sent))

    def test_cache_is_bounded(self):
        # Guards against a cache that grows with the number of flows.
        cache = VerifiedTokenCache(100)
        for number in range(1000):
            cache.add(number.to_bytes(44), print)
        self.assertEqual(100, len(cache))
        self.assertIsNone(cache.find((899).to_bytes(44)))
        self.assertIsNotNone(cache.find((900).to_bytes(44)))


class OpenTest(TestCase):
    def test_open_lists_other_candidates(self):
        # Guards against an OPEN that a full target cannot hand off.
        targets = [build_target(each) for each in (1, 2, 3, 4)]
        each = build_router(targets)
        each.router.route(build_packet(Kind.OPEN, 5, body=bytes(80)))
        envelope, datagram = unseal(each.dependencies.keys, each.sent[0][0])
        self.assertEqual(targets[1].address, each.sent[0][1])
        self.assertEqual(
            (targets[2].address, targets[3].address), envelope.alternates
        )
        self.assertIs(Kind.OPEN, datagram.kind)

    def test_open_for_another_service_is_dropped(self):
        # Guards against work that reaches a service it was not meant for.
        each = build_router([build_target()])
        each.router.route(build_packet(Kind.OPEN, 5, service_id=8))
        self.assertEqual(1, each.dropped[DropReason.UNKNOWN_SERVICE])
        self.assertFalse(each.sent)

    def test_open_without_target_is_dropped(self):
        # Guards against a process that ends when all targets are gone.
        each = build_router()
        each.router.route(build_packet(Kind.OPEN, 5))
        self.assertEqual(1, each.dropped[DropReason.NO_TARGET])


class ProbeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.each = build_router([build_target()])
        self.chooser = self.each.dependencies.choosers
        self.each.router.probe(7)
        keys = self.each.dependencies.keys
        self.probe = unseal(keys, self.each.sent[0][0])[1]

    def reply(self, body, flow_id=None):
        datagram = ServiceDatagram(
            kind=Kind.PROBE_REPLY,
            service_id=7,
            flow_id=self.probe.flow_id if flow_id is None else flow_id,
            body=body,
        )
        return seal_envelope(
            self.each.dependencies.keys,
            Envelope(9, 1, OWN, OWN),
            datagram.encode(),
        )

    def test_reply_is_taken_once(self):
        # Guards against an old load that is replayed.
        load = ProbeLoad(3, 2, 1500, ProbeState.DRAINING)
        packet = self.reply(encode_load(load))
        self.each.router.route(packet)
        self.each.router.route(packet)
        self.assertEqual(1, len(self.chooser.replies))
        self.assertEqual('t1', self.chooser.replies[0].target_id)
        self.assertEqual(1500, self.chooser.replies[0].latency_us)
        self.assertEqual(1, self.each.dropped[DropReason.REPLAYED])

    def test_lost_probe_is_reported(self):
        # Guards against a dead target that keeps its last good load.
        self.each.dependencies.timers.advance(1.5)
        self.each.router.check_probes()
        self.assertEqual([('t1', False)], self.chooser.outcomes)

    def test_forged_reply_is_dropped(self):
        # Guards against a load that no agent has sent.
        load = encode_load(ProbeLoad(0, 0, 0, ProbeState.ACCEPTING))
        packet = bytearray(self.reply(load))
        packet[-1] ^= 1
        self.each.router.route(bytes(packet))
        self.each.router.route(self.reply(load, flow_id=1))
        self.each.router.route(self.reply(b'short'))
        self.assertFalse(self.chooser.replies)
        self.assertEqual(1, self.each.dropped[DropReason.BAD_TAG])
        self.assertEqual(1, self.each.dropped[DropReason.MALFORMED_BODY])

    def test_probes_are_limited(self):
        # Guards against probes that exceed the limit of the settings.
        for _ in range(1000):
            self.each.router.probe(7)
        self.assertEqual(100, self.each.router.counters.probes_sent)


class FuzzTest(TestCase):
    """Fuzz targets of all decoders of datagrams."""

    @given(st.binary(max_size=1400))
    def test_any_bytes(self, data):
        # Guards against bytes from outside that end the process.
        each = build_router([build_target()])
        each.router.route(data)
        each.router.route(build_packet(Kind.PING, 1)[:16] + data)
        self.assertEqual(2, each.dropped.total() + len(each.sent))
        for decode in (
            decode_service_datagram,
            decode_fabric_header,
            decode_load,
        ):
            decode(data)
        open_envelope(each.dependencies.keys, data)

    @given(
        kind=st.sampled_from((*TOKEN_KINDS, Kind.OPEN, Kind.ANSWER)),
        position=st.integers(0, 75),
        changed=st.integers(0, 255),
        length=st.integers(0, 1400),
    )
    def test_changed_and_truncated(self, kind, position, changed, length):
        # Guards against damaged datagrams that are sent on as valid.
        each = build_router([build_target()])
        token = build_token(each.dependencies.keys, 1)
        body = bytes(1200)
        valid = build_packet(kind, 1, token=token, body=body)
        if kind in TOKEN_KINDS:
            each.router.route(valid)
        sent = len(each.sent)
        packet = bytearray((valid + bytes(200))[:length])
        if position < length:
            packet[position] = changed
        each.router.route(bytes(packet))
        total = each.dropped.total() + each.router.counters.forwarded[kind]
        self.assertGreaterEqual(total + 1, len(each.sent))
        in_key = 20 <= position < 64 and valid[position] != changed
        wrong_size = not 76 <= length <= 1276
        if kind in TOKEN_KINDS and (in_key or wrong_size):
            self.assertEqual(sent, len(each.sent))
            self.assertEqual(1, each.dropped.total())

    def test_truncated_and_oversized_are_counted(self):
        # Guards against drops that no counter shows.
        each = build_router()
        token = build_token(each.dependencies.keys, 1)
        valid = build_packet(Kind.PING, 1, token=token)
        each.router.route(valid[:75])
        each.router.route(valid[:10])
        each.router.route(valid + bytes(1201))
        self.assertEqual(2, each.dropped[DropReason.TRUNCATED])
        self.assertEqual(1, each.dropped[DropReason.OVERSIZED])
