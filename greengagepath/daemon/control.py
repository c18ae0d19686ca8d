"""Control plane of a daemon: its node with real links and timers."""

import random
import time
from collections.abc import Callable, Mapping

from ..foundation.addresses import Address
from ..foundation.object_api import HttpTransport, ObjectClient
from ..foundation.timers import LoopTimerService
from ..foundation.tls import TlsContexts
from ..generated.messages import (
    Configuration,
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
)
from ..generated.settings import Settings
from ..membership.agent_node import AgentNode
from ..membership.balancer_node import (
    AnswerRoute,
    BalancerListeners,
    BalancerNode,
    OnConfiguration,
    OnTargets,
    refuse_route,
)
from ..membership.ports import NodePorts
from ..protocol.tags import KeyRing
from .links import LinkOptions, WebsocketLinks


class BalancerControl:
    """Members, targets and configuration known to one balancer.

    `on_targets` is called with the targets of each service id,
    `on_configuration` with each configuration that comes into force,
    `answer_route` with questions of operators. All are called from the
    greenlets of timers and links and must not block.
    """

    def __init__(
        self,
        settings: Settings,
        keys: KeyRing,
        timers: LoopTimerService,
        on_targets: OnTargets,
        on_configuration: OnConfiguration,
        tls: TlsContexts | None = None,
        answer_route: AnswerRoute = refuse_route,
    ) -> None:
        self._settings = settings
        self.links = WebsocketLinks(LinkOptions(keys, settings.limits, tls))
        self._transport = _make_transport(settings)
        self.node = BalancerNode(
            _make_balancer_record(settings),
            _make_ports(settings, timers, self.links, self._transport),
            BalancerListeners(on_targets, on_configuration, answer_route),
        )

    def start(self) -> None:
        """Listen for links; raises OSError if the port is taken."""
        node = self._settings.node
        self.links.set_events(self.node)
        self.links.listen((node.host, node.control_port))
        self.node.start()

    def stop(self) -> None:
        """Leave the overlay and close all links."""
        self.node.stop()
        self.links.stop()
        self._transport.stop()

    def records(self) -> tuple[MemberRecord, ...]:
        """Return the records of all members, tombstones included."""
        return self.node.table.records()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self.node.spread.holder.current

    @property
    def store_calls(self) -> Mapping[tuple[str, str], int]:
        """Calls to the object API by method and outcome."""
        return self._transport.calls

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.configuration is not None


class AgentControl:
    """Announces the target of this agent and receives its service.

    `on_service` is called from the greenlets of links with each version
    of the service.
    """

    def __init__(
        self,
        settings: Settings,
        keys: KeyRing,
        timers: LoopTimerService,
        record: MemberRecord,
        on_service: Callable[[Service], None],
        tls: TlsContexts | None = None,
    ) -> None:
        self.links = WebsocketLinks(LinkOptions(keys, settings.limits, tls))
        self._transport = _make_transport(settings)
        self.node = AgentNode(
            record,
            _make_ports(settings, timers, self.links, self._transport),
            on_service,
        )
        self.links.set_events(self.node)

    def start(self) -> None:
        """Find the home balancers and announce the target."""
        self.node.start()

    def stop(self) -> None:
        """Announce that the target is leaving and close all links."""
        self.node.stop()
        self.links.stop()
        self._transport.stop()

    def set_state(self, state: MemberState) -> None:
        """Publish the state of the target."""
        self.node.set_state(state)

    @property
    def is_connected(self) -> bool:
        """Whether at least one home balancer has registered the target."""
        return bool(self.node.own.record.homes)


def _make_transport(settings: Settings) -> HttpTransport:
    return HttpTransport(settings.object_api.url, settings.object_api.timeout_s)


def _make_ports(
    settings: Settings,
    timers: LoopTimerService,
    links: WebsocketLinks,
    transport: HttpTransport,
) -> NodePorts:
    rng = random.Random()
    return NodePorts(
        timers=timers,
        links=links,
        store=ObjectClient(transport, timers, rng),
        random=rng,
        limits=settings.limits,
        fallback_seeds=tuple(
            _parse_seed(entry) for entry in settings.node.seeds
        ),
    )


def _parse_seed(seed: str) -> Address:
    host, port = seed.rsplit(':', 1)
    return host, int(port)


def _make_balancer_record(settings: Settings) -> MemberRecord:
    node = settings.node
    now_s = time.time()
    return MemberRecord(
        member_id=node.member_id,
        kind=MemberKind.balancer,
        host=node.host,
        data_port=node.data_port,
        control_port=node.control_port,
        region=node.region,
        availability_zone=node.availability_zone,
        # The start time, so that the records of a restarted balancer
        # supersede those of its earlier processes.
        incarnation=int(now_s),
        record_version=0,
        state=MemberState.alive,
        started_ms=int(now_s * 1000),
    )
