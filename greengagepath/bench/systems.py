"""The two systems that a simulation can run."""

from collections.abc import Iterable
from functools import partial

from ..routing.choice import ChooserServices, Place
from ..routing.targets import TargetInfo, TargetState
from .fakes import BackEnd
from .naive import NaiveAgent, NaiveBalancer, NaiveCaller
from .ours import Agent, Balancer, LibraryCaller, World
from .scenarios import REGION, ZONES
from .simulation import Host, RequestStarter, RunSetup, Simulation


class NaiveSimulation(Simulation):
    """The naive balancer."""

    def _get_start(self) -> RequestStarter:
        return NaiveCaller(
            self.parts.timers,
            self.parts.fabric,
            self.parts.request_log,
            self.setup.scenario.client_delay_s,
        ).start

    def _make_agent(self, target: TargetInfo, back_end: BackEnd) -> NaiveAgent:
        return NaiveAgent(target.target_id, back_end)

    def _add_balancer(self) -> None:
        balancer = NaiveBalancer()

        self._watch(partial(self._apply_targets, balancer))
        self.parts.fabric.add_balancer(balancer)

    def _apply_targets(
        self, balancer: NaiveBalancer, targets: tuple[TargetInfo, ...]
    ) -> None:
        live = [
            target for target in targets if target.state != TargetState.DRAINING
        ]
        agents_by_service = {
            service: [
                self.hosts_by_id[target.target_id].agent
                for target in of_service
            ]
            for service, of_service in _group(live).items()
        }
        balancer.replace_targets(agents_by_service)

    def _drain(self, host: Host) -> None:
        """Leave the agent to finish what it has."""


class OursSimulation(Simulation):
    """The real decision modules."""

    def __init__(self, setup: RunSetup) -> None:
        self._world: World | None = None
        self._balancers = 0
        super().__init__(setup)

    def _get_world(self) -> World:
        if self._world is None:
            self._world = World(
                timers=self.parts.timers,
                fabric=self.parts.fabric,
                request_log=self.parts.request_log,
                random=self.parts.random,
                client_delay_s=self.setup.scenario.client_delay_s,
                zone_delay_s=self.setup.scenario.zone_delay_s,
            )
        return self._world

    def _get_start(self) -> RequestStarter:
        return LibraryCaller(self._get_world()).start

    def _make_agent(self, target: TargetInfo, back_end: BackEnd) -> Agent:
        world = self._get_world()
        agent = Agent(world, target, back_end)
        world.agents_by_address[target.address] = agent
        return agent

    def _add_balancer(self) -> None:
        zone = ZONES[self._balancers % len(ZONES)]
        self._balancers += 1
        shared = ChooserServices(
            place=Place(REGION, zone),
            timers=self.parts.timers,
            random=self.parts.random,
            wall_clock=self.parts.timers.now,
        )
        balancer = Balancer(self._get_world(), shared, self.setup.make_chooser)
        self._watch(lambda targets: balancer.replace_targets(_group(targets)))
        self.parts.fabric.add_balancer(balancer)

    def _drain(self, host: Host) -> None:
        host.agent.start_draining()


SYSTEMS_BY_NAME: dict[str, type[Simulation]] = {
    'naive': NaiveSimulation,
    'ours': OursSimulation,
}


def _group(
    targets: Iterable[TargetInfo],
) -> dict[int, tuple[TargetInfo, ...]]:
    targets_by_service: dict[int, tuple[TargetInfo, ...]] = {}
    for target in targets:
        targets_by_service[target.service] = (
            *targets_by_service.get(target.service, ()),
            target,
        )
    return targets_by_service
