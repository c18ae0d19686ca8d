"""The two systems that a simulation can run."""

from collections.abc import Iterable
from functools import partial

from ..routing.choice import ChooserServices, Place
from ..routing.targets import TargetInfo, TargetState
from .fakes import BackEnd
from .naive import NaiveAgent, NaiveBalancer, NaiveCaller
from .ours import Agent, Balancer, LibraryCaller, RunContext
from .scenarios import REGION, ZONES
from .simulation import Host, RequestStarter, RunSetup, Simulation


class NaiveSimulation(Simulation):
    """Runs the naive balancer."""

    def _make_request_starter(self) -> RequestStarter:
        return NaiveCaller(
            self.environment.timers,
            self.environment.fabric,
            self.environment.request_log,
            self.setup.scenario.client_delay_s,
        ).start

    def _make_agent(self, target: TargetInfo, back_end: BackEnd) -> NaiveAgent:
        return NaiveAgent(target.target_id, back_end)

    def _add_balancer(self) -> None:
        balancer = NaiveBalancer()

        self._watch(partial(self._apply_targets, balancer))
        self.environment.fabric.add_balancer(balancer)

    def _apply_targets(
        self, balancer: NaiveBalancer, targets: tuple[TargetInfo, ...]
    ) -> None:
        live = [
            target for target in targets if target.state != TargetState.DRAINING
        ]
        agents_by_service = {
            service: [
                self.hosts_by_id[target.target_id].agent
                for target in service_targets
            ]
            for service, service_targets in _group_by_service(live).items()
        }
        balancer.replace_targets(agents_by_service)

    def _drain(self, host: Host) -> None:
        """Do nothing: the naive agent finishes its queue."""


class OursSimulation(Simulation):
    """Runs our system with the real decision modules."""

    def __init__(self, setup: RunSetup) -> None:
        self._context: RunContext | None = None
        self._balancer_count = 0
        super().__init__(setup)

    def _get_context(self) -> RunContext:
        if self._context is None:
            self._context = RunContext(
                timers=self.environment.timers,
                fabric=self.environment.fabric,
                request_log=self.environment.request_log,
                random=self.environment.random,
                client_delay_s=self.setup.scenario.client_delay_s,
                zone_delay_s=self.setup.scenario.zone_delay_s,
            )
        return self._context

    def _make_request_starter(self) -> RequestStarter:
        return LibraryCaller(self._get_context()).start

    def _make_agent(self, target: TargetInfo, back_end: BackEnd) -> Agent:
        context = self._get_context()
        agent = Agent(context, target, back_end)
        context.agents_by_address[target.address] = agent
        return agent

    def _add_balancer(self) -> None:
        zone = ZONES[self._balancer_count % len(ZONES)]
        self._balancer_count += 1
        shared = ChooserServices(
            place=Place(REGION, zone),
            timers=self.environment.timers,
            random=self.environment.random,
        )
        balancer = Balancer(
            self._get_context(), shared, self.setup.make_chooser
        )
        self._watch(
            lambda targets: balancer.replace_targets(_group_by_service(targets))
        )
        self.environment.fabric.add_balancer(balancer)

    def _drain(self, host: Host) -> None:
        host.agent.start_draining()


SYSTEMS_BY_NAME: dict[str, type[Simulation]] = {
    'naive': NaiveSimulation,
    'ours': OursSimulation,
}


def _group_by_service(
    targets: Iterable[TargetInfo],
) -> dict[int, tuple[TargetInfo, ...]]:
    targets_by_service: dict[int, tuple[TargetInfo, ...]] = {}
    for target in targets:
        targets_by_service[target.service] = (
            *targets_by_service.get(target.service, ()),
            target,
        )
    return targets_by_service
