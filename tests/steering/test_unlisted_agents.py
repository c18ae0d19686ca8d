"""Agents that run and that the store's list does not name.

A late call has removed their entries, or the store has come back from an
earlier copy. Processes that join then know only a part of the others.
"""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.steering.agent.agent_peers import AgentPeers
from greengagepath.steering.balancer.balancer_steering import BalancerSteering
from greengagepath.steering.member_knowledge import (
    PEER_WAIT_S,
    UNVOUCHED_WAIT_S,
    Grounds,
    MemberKnowledge,
)
from greengagepath.steering.messages.agent_lists import (
    decode_agents,
    split_agents,
)
from greengagepath.steering.messages.peer_messages import MAX_ROSTER
from greengagepath.steering.store import Member, MemberList, MemberRole

from .builders import make_address, make_flow
from .world import RETRANSMIT_S, World

AGENTS = 3
UNLISTED = AGENTS + 1
JOINING = 3
FLOWS = 6
# Callers send at this interval through the balancer that joins.
SEND_S = 0.01
# Time from the first packet of a joining balancer to its first word of an
# unlisted agent, as seen with processes: 10 to 880 ms.
MAX_PHASE_MS = 900
# A flow that really is lost is reset within this time after a join.
RESET_S = 1.0


class JoinTest(TestCase):
    """Two services; the single agent of the second one is not listed."""

    def setUp(self):
        super().setUp()
        self.start()

    def start(self) -> None:
        """Open flows at the unlisted agent's target."""
        self.world = World(agents=AGENTS, other_agents=1)
        self.listed = [make_address(agent) for agent in range(1, UNLISTED)]
        balancers = list(self.world.balancer_by_address)
        for steering in self.world.balancer_by_address.values():
            steering.contacts.add_balancers(balancers)
        for agent in range(1, UNLISTED + 1):
            self.world.list_members(agent)
        self.sequence_by_flow = {}
        number = 0
        while len(self.sequence_by_flow) < FLOWS:
            number += 1
            flow = make_flow(number)
            sequence = self.world.open(flow)
            if self.world.find_holder(flow) == UNLISTED:
                self.sequence_by_flow[flow] = sequence
        self.world.timers.advance(0.5)

    def join(
        self, peers: list[bytes], *, is_vouched: bool = True
    ) -> BalancerSteering:
        """Start a balancer that has read a list without one agent."""
        steering = self.world.start_balancer(JOINING, reads_store=False)
        steering.apply_routes(self.world.table)
        steering.contacts.add_balancers(peers)
        steering.contacts.agent_lists.record_listed(
            self.listed, is_vouched=is_vouched
        )
        return steering

    def send_for(self, duration_s: float, gap_s: float = SEND_S) -> None:
        """Send requests on all flows through the balancer that joins."""
        for _ in range(round(duration_s / gap_s)):
            for flow, sequence in self.sequence_by_flow.items():
                self.world.request(flow, sequence, JOINING)
            self.world.timers.advance(gap_s)

    def cut_from_unlisted(self, duration_s: float) -> None:
        """Delay the first word of the unlisted agent to the joining one."""
        ends = (make_address(UNLISTED), make_address(JOINING, network=9))
        self.world.cut_links = {ends, (ends[1], ends[0])}
        self.world.timers.call_after(duration_s, self.world.cut_links.clear)

    @given(st.integers(min_value=0, max_value=MAX_PHASE_MS))
    def test_no_phase_of_a_join_resets_a_flow_of_an_unlisted_agent(
        self, phase_ms
    ):
        # Guards against a balancer that takes the store's list for all
        # agents and resets flows before it hears of the one not listed.
        self.start()
        self.cut_from_unlisted(phase_ms / 1000)
        self.join(list(self.world.balancer_by_address))
        self.send_for(1.5)
        self.assertEqual([], self.world.false_resets)
        self.world.responses.clear()
        unlisted = make_address(UNLISTED)
        self.world.target_by_address[unlisted].runs_by_flow.clear()
        self.send_for(0.2)
        self.assertEqual(set(self.sequence_by_flow), set(self.world.responses))

    def test_peers_that_are_gone_do_not_hide_one_that_runs(self):
        # Guards against a balancer that asks entries of VMs that are gone
        # and then goes by the list.
        gone = [make_address(number, network=8) for number in range(1, 8)]
        self.join([*gone, *self.world.balancer_by_address])
        self.send_for(1.5)
        self.assertEqual([], self.world.false_resets)

    def test_lost_flow_is_reset_soon_after_a_join(self):
        # Guards against callers that wait for their deadline because the
        # balancer that joins never knows all agents.
        self.world.restart_target(UNLISTED)
        self.world.stop_agent(UNLISTED)
        self.world.start_agent(UNLISTED, is_first_start=False)
        self.world.list_members(UNLISTED)
        self.world.timers.advance(0.6)
        self.join(list(self.world.balancer_by_address))
        # More packets would use up the pace of resets.
        self.send_for(RESET_S, RETRANSMIT_S)
        reset = {flow for flow, sent in self.world.open_resets.items() if sent}
        self.assertEqual(set(self.sequence_by_flow), reset)

    def test_joining_alone_resets_nothing_while_nobody_vouches(self):
        # Guards against a balancer and an agent that find each other only
        # after a drill, and reset the flows of all others.
        self.listed = [make_address(1)]
        for address in (*self.listed, make_address(JOINING, network=9)):
            self._isolate(address)
        # What is under way arrives.
        self.world.timers.advance(0.01)
        peers = self.world.agent_by_address[make_address(1)].context.peers
        for number in range(2, UNLISTED):
            peers.remove_agent(make_address(number))
        peers.knowledge = MemberKnowledge(self.world.timers)
        peers.record_listed(self.listed, is_vouched=False)
        self.join([], is_vouched=False)
        self.send_for(UNVOUCHED_WAIT_S - 0.5)
        self.assertEqual([], self.world.false_resets)

    def _isolate(self, address: bytes) -> None:
        """Cut a process off from all that joined before."""
        island = {make_address(1), make_address(JOINING, network=9)}
        everyone = {
            *self.world.agent_by_address,
            *self.world.balancer_by_address,
        }
        for other in everyone - island:
            self.world.cut_links |= {(address, other), (other, address)}

    def test_agent_knows_all_only_on_the_word_of_one_that_does(self):
        # Guards against an agent that knows no other one of its service,
        # answers that no target holds a flow, and is believed.
        peers = AgentPeers(make_address(1), 0, self.world.timers)
        peers.record_balancer(make_address(JOINING, network=9))
        peers.record_listed([make_address(1)], is_vouched=False)
        self.world.timers.advance(UNVOUCHED_WAIT_S - 0.1)
        self.assertFalse(peers.is_complete)
        peers.knowledge.record_peer()
        self.assertTrue(peers.is_complete)

    def test_restarted_agent_is_told_all_agents_at_once(self):
        # Guards against an agent that waits for the next regular roster
        # before it can tell a balancer that a flow is lost.
        self.world.restart_agent(1)
        self.world.timers.advance(0.01)
        peers = self.world.agent_by_address[make_address(1)].context.peers
        peers.record_listed([make_address(1)], is_vouched=False)
        self.assertIs(Grounds.PEER, peers.knowledge.grounds)


class MemberKnowledgeTest(TestCase):
    def test_grounds(self):
        # Guards against a list that is taken for complete too early, or
        # never; a row has what was recorded, and the grounds just after it,
        # after the wait for a peer and after the wait for a voucher.
        nothing, by_list, timeout, peer = Grounds
        for is_listed, is_vouched, has_peer, expected in (
            (False, False, False, (nothing, nothing, nothing)),
            (False, False, True, (nothing, nothing, nothing)),
            (True, True, False, (nothing, by_list, by_list)),
            (True, False, False, (nothing, nothing, timeout)),
            (True, False, True, (peer, peer, peer)),
            (True, True, True, (peer, peer, peer)),
        ):
            timers = VirtualTimerService(start_s=100.0)
            knowledge = MemberKnowledge(timers)
            if is_listed:
                knowledge.record_list(is_vouched=is_vouched)
            if has_peer:
                knowledge.record_peer()
            seen = [knowledge.grounds]
            timers.advance(PEER_WAIT_S + 0.01)
            seen.append(knowledge.grounds)
            timers.advance(UNVOUCHED_WAIT_S)
            seen.append(knowledge.grounds)
            self.assertEqual(expected, tuple(seen))

    def test_later_list_may_be_vouched_for(self):
        # Guards against a process that waits though the list that it has
        # read after its own registration has a voucher.
        timers = VirtualTimerService(start_s=100.0)
        knowledge = MemberKnowledge(timers)
        knowledge.record_list(is_vouched=False)
        timers.advance(PEER_WAIT_S + 0.01)
        knowledge.record_list(is_vouched=True)
        self.assertIs(Grounds.LIST, knowledge.grounds)


class MemberListTest(TestCase):
    def test_list_is_vouched_for_in_its_own_era_only(self):
        # Guards against a copy whose voucher knew an earlier state, and
        # against a store without eras that nobody vouches for.
        for vouched_eras, era, is_whole, expected in (
            ([], 0, True, True),
            ([0], 0, True, True),
            ([0], 0, False, False),
            ([], 1, True, False),
            ([0, 1], 1, True, True),
            ([1, 1], 2, True, False),
            ([1, 2], 2, True, True),
            ([2], 2, False, False),
        ):
            members = [
                Member(make_address(number), MemberRole.AGENT, vouched_era)
                for number, vouched_era in enumerate(vouched_eras)
            ]
            listed = MemberList(members, era, is_whole=is_whole)
            self.assertIs(expected, listed.is_vouched)


class AgentListTest(TestCase):
    def test_parts_carry_all_agents(self):
        # Guards against agents that get lost between two parts, and against
        # an empty list that is never complete.
        for count in (0, 1, MAX_ROSTER, MAX_ROSTER + 1):
            agents = [number.to_bytes(4, 'big') for number in range(count)]
            parts = [
                decode_agents(part.encode()) for part in split_agents(agents)
            ]
            found = [address for part in parts for address in part.addresses]
            self.assertEqual(agents, found)
            self.assertEqual(
                list(range(parts[0].count)), [part.index for part in parts]
            )

    @given(st.binary(max_size=40))
    def test_any_bytes_give_a_result(self, body):
        # Guards against an exception for a datagram of another process.
        decode_agents(body)
