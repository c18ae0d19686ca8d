"""Tests of the configuration while the store does not answer."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.steering.balancer.balancer_contacts import BalancerIdentity
from greengagepath.steering.balancer.balancer_steering import BalancerSteering
from greengagepath.steering.messages.peer_messages import PeerKind
from greengagepath.steering.messages.route_codec import (
    decode_routes,
    encode_routes,
)
from greengagepath.steering.messages.route_copies import (
    RouteAssembly,
    RouteCopy,
)
from greengagepath.steering.routes import Route, RouteTable, ServiceShare

from .builders import (
    SERVICE,
    make_address,
    make_flow,
    make_message,
    make_opening,
    make_table,
)
from .world import FakeOutbox, World


def make_large_table(version: int, count: int = 700) -> RouteTable:
    """Return a configuration that needs several datagrams."""
    route = Route(
        'a-route', (ServiceShare(SERVICE, 1.0),), objective_s=0.15, priority=2
    )
    return RouteTable(
        version, {number.to_bytes(6, 'big'): route for number in range(count)}
    )


class RouteCopiesTest(TestCase):
    def test_parts_in_any_order_give_the_table(self):
        # Guards against routes that are lost or changed when the parts of
        # a copy arrive out of order.
        table = make_large_table(9)
        parts = list(RouteCopy(9, encode_routes(table)).make_parts(SERVICE))
        assembly = RouteAssembly()
        copies = [assembly.add(part) for part in reversed(parts)]
        decoded = decode_routes(9, copies[-1].encoded).unwrap()
        self.assertEqual(700, len(decoded.by_destination))
        route = decoded.by_destination[bytes(6)]
        self.assertEqual(SERVICE, route.shares[0].service)
        self.assertEqual(150, round(route.objective_s * 1000))

    def test_parts_of_two_versions_do_not_mix(self):
        # Guards against a mixed configuration when a newer version
        # arrives between the parts of an older one.
        old = list(RouteCopy(8, b'x' * 2400).make_parts(SERVICE))
        new = list(RouteCopy(9, b'y' * 2400).make_parts(SERVICE))
        assembly = RouteAssembly()
        for part in (old[0], new[0], old[1]):
            self.assertIsNone(assembly.add(part))
        self.assertEqual(b'y' * 2400, assembly.add(new[1]).encoded)

    @given(st.binary(max_size=60))
    def test_malformed_bytes_raise_no_exception(self, encoded):
        # Guards against a malformed datagram that ends the process.
        decode_routes(1, encoded)
        part = make_message(PeerKind.PART, body=encoded, version=1)
        RouteAssembly().add(part)

    def test_balancer_that_starts_without_the_store_serves(self):
        # Guards against a balancer that starts while the store is down
        # and drops all packets although its peers have the configuration.
        world = World()
        started = self._start_without_store(world)
        world.timers.advance(2.5)
        self.assertEqual(1, started.routes.version)
        flow = make_flow()
        world.send(make_opening(flow), balancer=7)
        world.timers.advance(0.05)
        self.assertIn(flow, world.answers)

    def test_configuration_survives_a_restart_of_all_balancers(self):
        # Guards against an outage that lasts as long as that of the store
        # because all balancers were killed during it.
        world = World()
        for balancer in world.balancer_by_address.values():
            balancer.apply_routes(make_table(version=5))
        world.timers.advance(2.5)
        world.balancer_by_address.clear()
        started = self._start_without_store(world)
        world.timers.advance(2.5)
        self.assertEqual(5, started.routes.version)

    def test_balancer_with_an_outdated_version_asks_peers(self):
        # Guards against a balancer that keeps an outdated version because
        # the store rejects its calls.
        world = World()
        first, second = world.balancer_by_address.values()
        first.apply_routes(make_table(version=5))
        world.timers.advance(3.5)
        self.assertEqual(5, second.routes.version)

    def _start_without_store(self, world: World) -> BalancerSteering:
        address = make_address(7, network=9)
        started = BalancerSteering(
            BalancerIdentity(address, 'zone-a'),
            world.timers,
            FakeOutbox(world, address),
            lambda: None,
        )
        world.balancer_by_address[address] = started
        started.contacts.agent_lists.record_listed(list(world.agent_by_address))
        return started
