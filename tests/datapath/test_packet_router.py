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
        # Guards against a flow that breaks when its datagrams reach a
        # balancer with other targets or without a token cache.
        keys = build_keys()
        source = Random(seed)
        known = build_router([build_target(number) for number in first], keys)
        other = build_router([build_target(number) for number in second], keys)
        bare = build_router([], keys, verified_tokens=0)
        routers = [known, other, bare]
        for flow_id in flow_ids * 2:
            owner = ('127.0.0.1', 5000 + source.randrange(1, 60))
            token = build_token(keys, flow_id, owner)
            packet = build_packet(kind, flow_id, token=token)
            for fixture in routers:
                fixture.router.route(packet)
                sealed, address = fixture.sent[-1]
                self.assertEqual(owner, address)
                envelope, datagram = unseal(keys, sealed)
                self.assertEqual(CALLER, envelope.caller)
                self.assertEqual(SERVICE, envelope.service)
                self.assertEqual(packet[16:], datagram.encode())

    def test_token_of_another_flow_or_service_is_rejected(self):
        # Guards against a datagram that reaches the target of another
        # flow or service with a token copied from there, also when the
        # token has been verified before.
        for fields in (
            {'flow_id': 2},
            {'flow_id': 1, 'service_id': 8},
        ):
            fixture = build_router()
            token = build_token(fixture.dependencies.keys, 1)
            valid = build_packet(Kind.REQUEST, 1, token=token)
            fixture.router.route(valid)
            fixture.router.route(
                build_packet(Kind.REQUEST, token=token, **fields)
            )
            self.assertEqual(1, fixture.dropped[DropReason.BAD_TOKEN])
            self.assertEqual(1, len(fixture.sent))

    def test_replaced_key_invalidates_cached_tokens(self):
        # Guards against tokens of a removed key that are still accepted
        # because they are in the cache.
        fixture = build_router()
        keys = fixture.dependencies.keys
        packet = build_packet(Kind.PING, 1, token=build_token(keys, 1))
        fixture.router.route(packet)
        keys.replace_keys([build_key(2)])
        fixture.router.forwarder.refresh_replaced_keys()
        fixture.router.route(packet)
        self.assertEqual(1, fixture.dropped[DropReason.BAD_TOKEN])

    def test_expired_key_invalidates_cached_tokens(self):
        # Guards against tokens of an expired key that are still accepted
        # because they are in the cache.
        now_s = [0.0]
        keys = build_keys(build_key(1, 10.0), clock=lambda: now_s[0])
        fixture = build_router(keys=keys)
        packet = build_packet(Kind.PING, 1, token=build_token(keys, 1))
        fixture.router.route(packet)
        now_s[0] = 11.0
        fixture.router.forwarder.refresh_keys()
        fixture.router.route(packet)
        self.assertEqual(1, fixture.dropped[DropReason.BAD_TOKEN])
        self.assertEqual(1, len(fixture.sent))

    def test_cache_is_bounded(self):
        # Guards against a cache that grows with the number of flows, or
        # does not evict the oldest entries first.
        cache = VerifiedTokenCache(100)
        for number in range(1000):
            cache.add(number.to_bytes(44), print)
        self.assertEqual(100, len(cache))
        self.assertIsNone(cache.find((899).to_bytes(44)))
        self.assertIsNotNone(cache.find((900).to_bytes(44)))


class OpenTest(TestCase):
    def test_open_lists_other_candidates(self):
        # Guards against an OPEN without alternates, which a full target
        # could not hand off.
        targets = [build_target(number) for number in (1, 2, 3, 4)]
        fixture = build_router(targets)
        fixture.router.route(build_packet(Kind.OPEN, 5, body=bytes(80)))
        envelope, datagram = unseal(
            fixture.dependencies.keys, fixture.sent[0][0]
        )
        self.assertEqual(targets[1].address, fixture.sent[0][1])
        self.assertEqual(
            (targets[2].address, targets[3].address), envelope.alternates
        )
        self.assertIs(Kind.OPEN, datagram.kind)

    def test_open_for_another_service_is_dropped(self):
        # Guards against an OPEN for one service that is sent to the
        # address of another.
        fixture = build_router([build_target()])
        fixture.router.route(build_packet(Kind.OPEN, 5, service_id=8))
        self.assertEqual(1, fixture.dropped[DropReason.UNKNOWN_SERVICE])
        self.assertFalse(fixture.sent)

    def test_open_without_target_is_dropped(self):
        # Guards against an exception that ends the process when a
        # service has no targets.
        fixture = build_router()
        fixture.router.route(build_packet(Kind.OPEN, 5))
        self.assertEqual(1, fixture.dropped[DropReason.NO_TARGET])


class ProbeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = build_router([build_target()])
        self.chooser = self.fixture.dependencies.choosers
        self.fixture.router.probe(7)
        keys = self.fixture.dependencies.keys
        self.probe = unseal(keys, self.fixture.sent[0][0])[1]

    def reply(self, body, flow_id=None):
        datagram = ServiceDatagram(
            kind=Kind.PROBE_REPLY,
            service_id=7,
            flow_id=self.probe.flow_id if flow_id is None else flow_id,
            body=body,
        )
        return seal_envelope(
            self.fixture.dependencies.keys,
            Envelope(9, 1, OWN, OWN),
            datagram.encode(),
        )

    def test_reply_is_accepted_once(self):
        # Guards against a replayed reply that reports an old load again.
        load = ProbeLoad(3, 2, 1500, ProbeState.DRAINING)
        packet = self.reply(encode_load(load))
        self.fixture.router.route(packet)
        self.fixture.router.route(packet)
        self.assertEqual(1, len(self.chooser.replies))
        self.assertEqual('t1', self.chooser.replies[0].target_id)
        self.assertEqual(1500, self.chooser.replies[0].latency_us)
        self.assertEqual(1, self.fixture.dropped[DropReason.REPLAYED])

    def test_lost_probe_is_recorded_as_failure(self):
        # Guards against a dead target that is still chosen by the low
        # load of its last reply.
        self.fixture.dependencies.timers.advance(1.5)
        self.fixture.router.check_probes()
        self.assertEqual([('t1', False)], self.chooser.outcomes)

    def test_forged_reply_is_dropped(self):
        # Guards against a load from anyone but the probed agent: with an
        # invalid tag, an unknown probe id or a malformed body.
        load = encode_load(ProbeLoad(0, 0, 0, ProbeState.ACCEPTING))
        packet = bytearray(self.reply(load))
        packet[-1] ^= 1
        self.fixture.router.route(bytes(packet))
        self.fixture.router.route(self.reply(load, flow_id=1))
        self.fixture.router.route(self.reply(b'short'))
        self.assertFalse(self.chooser.replies)
        self.assertEqual(1, self.fixture.dropped[DropReason.BAD_TAG])
        self.assertEqual(1, self.fixture.dropped[DropReason.MALFORMED_BODY])

    def test_probes_are_limited(self):
        # Guards against more probes than the configured rate allows.
        for _ in range(1000):
            self.fixture.router.probe(7)
        self.assertEqual(100, self.fixture.router.counters.probes_sent)


class FuzzTest(TestCase):
    """Fuzz tests of all decoders of datagrams."""

    @given(st.binary(max_size=1400))
    def test_any_bytes(self, data):
        # Guards against received bytes that raise an exception in a
        # decoder and end the process.
        fixture = build_router([build_target()])
        fixture.router.route(data)
        fixture.router.route(build_packet(Kind.PING, 1)[:16] + data)
        self.assertEqual(2, fixture.dropped.total() + len(fixture.sent))
        for decode in (
            decode_service_datagram,
            decode_fabric_header,
            decode_load,
        ):
            decode(data)
        open_envelope(fixture.dependencies.keys, data)

    @given(
        kind=st.sampled_from((*TOKEN_KINDS, Kind.OPEN, Kind.ANSWER)),
        position=st.integers(0, 75),
        changed=st.integers(0, 255),
        length=st.integers(0, 1400),
    )
    def test_changed_and_truncated(self, kind, position, changed, length):
        # Guards against damaged datagrams that are forwarded as valid.
        fixture = build_router([build_target()])
        token = build_token(fixture.dependencies.keys, 1)
        body = bytes(1200)
        valid = build_packet(kind, 1, token=token, body=body)
        if kind in TOKEN_KINDS:
            fixture.router.route(valid)
        sent = len(fixture.sent)
        packet = bytearray((valid + bytes(200))[:length])
        if position < length:
            packet[position] = changed
        fixture.router.route(bytes(packet))
        total = (
            fixture.dropped.total() + fixture.router.counters.forwarded[kind]
        )
        self.assertGreaterEqual(total + 1, len(fixture.sent))
        in_key = 20 <= position < 64 and valid[position] != changed
        wrong_size = not 76 <= length <= 1276
        if kind in TOKEN_KINDS and (in_key or wrong_size):
            self.assertEqual(sent, len(fixture.sent))
            self.assertEqual(1, fixture.dropped.total())

    def test_truncated_and_oversized_are_counted(self):
        # Guards against dropped datagrams that no counter includes.
        fixture = build_router()
        token = build_token(fixture.dependencies.keys, 1)
        valid = build_packet(Kind.PING, 1, token=token)
        fixture.router.route(valid[:75])
        fixture.router.route(valid[:10])
        fixture.router.route(valid + bytes(1201))
        self.assertEqual(2, fixture.dropped[DropReason.TRUNCATED])
        self.assertEqual(1, fixture.dropped[DropReason.OVERSIZED])
