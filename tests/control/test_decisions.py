"""Member table, overlay, configuration deltas and decoders."""

import time

from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from testtools import TestCase

from greengagepath.configuration.delta import apply_delta, compute_delta
from greengagepath.configuration.holder import ConfigurationHolder, MissingBase
from greengagepath.daemon.frames import FrameOpener, FrameSealer
from greengagepath.foundation.object_api import StoredObject
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import Heartbeat, MemberState
from greengagepath.generated.settings import LimitSettings
from greengagepath.membership.configuration_watch import configuration_of
from greengagepath.membership.overlay import overlay_peers, rank_by_hash
from greengagepath.membership.seeds import addresses_of
from greengagepath.membership.table import MemberTable, MergeOutcome
from greengagepath.protocol.tags import Key, KeyRing
from tests.control.builders import (
    make_configuration,
    make_record,
    make_service,
)

KEYS = KeyRing([Key(1, bytes(32))], time.time)
NONCE = b'n' * 16

records = st.builds(
    make_record,
    member_id=st.sampled_from(('m1', 'm2', 'm3')),
    incarnation=st.integers(1, 2),
    record_version=st.integers(0, 2),
    state=st.sampled_from(MemberState),
)
services = st.builds(make_service, st.integers(1, 4), port=st.integers(1, 3))
service_lists = st.lists(
    services, max_size=4, unique_by=lambda entry: entry.service_id
)
json_values = st.recursive(
    st.none() | st.integers() | st.text(max_size=5) | st.booleans(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def make_table(**limits):
    timers = VirtualTimerService()
    return MemberTable(LimitSettings(**limits), timers), timers


class TableTest(TestCase):
    @given(st.lists(records, max_size=8), st.randoms())
    def test_order_of_arrival_does_not_matter(self, offered, chance):
        # Guards against members that never agree on a record. Tombstones
        # of unknown members are refused, so all members are known first.
        known = [make_record(name) for name in ('m1', 'm2', 'm3')]
        tables = []
        for _ in range(2):
            table, _timers = make_table()
            arriving = known + offered
            for record in arriving:
                table.merge(record)
            tables.append(table)
            chance.shuffle(offered)
        orders = [
            sorted(
                (
                    entry.member_id,
                    entry.incarnation,
                    entry.record_version,
                    entry.state in {MemberState.dead, MemberState.left},
                )
                for entry in table.records()
            )
            for table in tables
        ]
        self.assertEqual(*orders)
        self.assertEqual(
            *(table.checksums.values_by_bucket for table in tables)
        )

    def test_late_record_does_not_revive_a_dead_member(self):
        # Guards against a dead target that a delayed message revives.
        table, timers = make_table()
        table.merge(make_record())
        table.suspect('m1')
        timers.advance(2)
        table.expire(lambda record: True)
        self.assertIs(MergeOutcome.STALE, table.merge(make_record()))
        self.assertEqual({}, table.targets_by_service())

    def test_version_in_force_shows_in_the_checksum(self):
        # Guards against a lost report that no comparison of tables repairs,
        # because the checksum leaves out the configuration version.
        table, _timers = make_table()
        table.merge(make_record())
        before = list(table.checksums.values_by_bucket)
        self.assertTrue(table.raise_version('m1', 1, 5))
        self.assertNotEqual(before, table.checksums.values_by_bucket)
        self.assertFalse(table.raise_version('m1', 1, 4))
        table.merge(make_record(record_version=1))
        self.assertEqual(5, table.get('m1').configuration_version)

    def test_full_table_refuses_and_counts(self):
        # Guards against unbounded growth of the table.
        table, _timers = make_table(members=2)
        for index in range(5):
            table.merge(make_record(f'm{index}'))
        self.assertEqual(2, len(table.records()))
        self.assertEqual(3, table.refused_records)

    def test_tombstones_are_limited_in_number_and_time(self):
        # Guards against tombstones that accumulate in a long run.
        table, timers = make_table(tombstones=3, tombstone_s=10)
        for index in range(6):
            table.merge(make_record(f'm{index}'))
            table.merge(make_record(f'm{index}', state=MemberState.left))
        table.expire(lambda record: True)
        kept = [record.member_id for record in table.records()]
        self.assertEqual(['m3', 'm4', 'm5'], kept)
        timers.advance(11)
        table.expire(lambda record: True)
        self.assertEqual((), table.records())


class OverlayTest(TestCase):
    def test_overlay_is_connected_with_the_wanted_degree(self):
        # Guards against a part of the overlay that no change reaches.
        ids = [f'b{index}' for index in range(87)]
        links_by_id = {entry: overlay_peers(entry, ids, 5) for entry in ids}
        total = sum(len(links) for links in links_by_id.values())
        self.assertAlmostEqual(5, 2 * total / len(ids), delta=0.5)
        reached, todo = set(), [ids[0]]
        while todo:
            entry = todo.pop()
            if entry not in reached:
                reached.add(entry)
                todo.extend(links_by_id[entry])
        self.assertEqual(set(ids), reached)

    def test_few_agents_move_when_a_balancer_leaves(self):
        # Guards against a ranking in which the loss of one balancer moves
        # most agents instead of a tenth.
        ids = [f'b{index}' for index in range(10)]
        moved = sum(
            rank_by_hash(f'a{index}', ids)[0]
            != rank_by_hash(f'a{index}', ids[1:])[0]
            for index in range(1000)
        )
        self.assertAlmostEqual(100, moved, delta=40)


class ConfigurationDeltaTest(TestCase):
    @given(service_lists, service_lists)
    def test_delta_gives_the_newer_configuration(self, old, new):
        # Guards against balancers that have the same version but different
        # content.
        base = make_configuration(1, *old)
        newer = make_configuration(2, *new)
        ordered = sorted(newer.services, key=lambda entry: entry.service_id)
        applied = apply_delta(base, compute_delta(base, newer)).unwrap()
        self.assertEqual(ordered, applied.services)
        whole = apply_delta(None, compute_delta(None, newer)).unwrap()
        self.assertEqual(applied, whole)

    def test_wrong_base_is_not_applied(self):
        # Guards against a delta applied to a version other than its base.
        holder = ConfigurationHolder()
        holder.offer(make_configuration(1))
        delta = compute_delta(make_configuration(2), make_configuration(3))
        refusal = holder.offer_delta(delta).unwrap_err()
        self.assertEqual(MissingBase(2, 1), refusal)
        self.assertEqual(1, holder.version)

    def test_same_version_with_other_content_is_a_conflict(self):
        # Guards against two contents of one version that go unnoticed.
        holder = ConfigurationHolder()
        holder.offer(make_configuration(1, operation_id='a'))
        rival = make_configuration(1, operation_id='b')
        self.assertTrue(holder.offer(rival).unwrap_err().conflicts)
        self.assertEqual('a', holder.current.operation_id)


class DecoderTest(TestCase):
    @given(st.binary(max_size=200))
    def test_any_frame_is_refused(self, frame):
        # Guards against arbitrary bytes that raise an exception.
        self.assertTrue(FrameOpener(KEYS, NONCE).open(frame).is_err())

    @given(st.integers(0, 60), st.integers(1, 255))
    def test_changed_frame_is_refused(self, position, difference):
        # Guards against a frame that is accepted with a wrong tag.
        frame = bytearray(FrameSealer(KEYS, NONCE).seal(Heartbeat(sequence=1)))
        frame[position % len(frame)] ^= difference
        self.assertTrue(FrameOpener(KEYS, NONCE).open(bytes(frame)).is_err())

    def test_replayed_frame_is_refused(self):
        # Guards against frames accepted twice or on another link.
        frame = FrameSealer(KEYS, NONCE).seal(Heartbeat(sequence=1))
        opener = FrameOpener(KEYS, NONCE)
        self.assertEqual(Ok(Heartbeat(sequence=1)), opener.open(frame))
        self.assertTrue(opener.open(frame).is_err())
        self.assertTrue(FrameOpener(KEYS, b'o' * 16).open(frame).is_err())

    def test_refusal_of_an_expired_key_states_the_reason(self):
        # Guards against an expired key that still opens frames, or that is
        # refused without a usable reason.
        keys = KeyRing([Key(1, bytes(32), not_after_s=1)], time.time)
        frame = FrameSealer(keys, NONCE).seal(Heartbeat(sequence=1))
        refusal = FrameOpener(keys, NONCE).open(frame).unwrap_err()
        self.assertIn('expired', refusal)

    @given(json_values)
    def test_any_object_is_read_without_an_exception(self, value):
        # Guards against an object in the store that makes all bridges raise
        # an exception.
        addresses_of(value)
        addresses_of({'addresses': value})
        body = value if isinstance(value, dict) else {'services': value}
        self.assertIsNone(configuration_of(StoredObject(1, body)))
