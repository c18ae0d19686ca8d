"""Answers of a balancer to the question where a new flow would go."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from ..configuration.drains import list_drained_zones
from ..generated.messages import (
    Configuration,
    RouteCandidate,
    RouteQuery,
    RouteReply,
    Service,
)
from ..generated.settings import NodeSettings
from ..routing.choice import Choice, NoTarget, NoTargetReason
from ..routing.choosers import ServiceChoosers
from ..routing.explanation import Assessment, LeftOut

_MS_PER_S = 1000.0
_NO_REPORT = -1.0
_EMPTY = Configuration(version=0, services=[])


@dataclass(slots=True)
class RouteAnswers:
    """Answers with the choosers of the data path, without a choice.

    `node` are the settings of the balancer, `get_configuration` returns
    the configuration in force.
    """

    node: NodeSettings
    choosers: ServiceChoosers
    get_configuration: Callable[[], Configuration | None]

    def answer(self, query: RouteQuery) -> RouteReply:
        """Return the choice for the flow and the state of all targets."""
        configuration = self.get_configuration() or _EMPTY
        services_by_name = {
            service.name: service for service in configuration.services
        }
        version = configuration.version
        service = services_by_name.get(query.service)
        if service is not None:
            return self._explain(query, service, version)
        return self._make_reply(
            query,
            version,
            reason=str(NoTargetReason.UNKNOWN_SERVICE),
            services=list(services_by_name),
        )

    def _explain(
        self, query: RouteQuery, service: Service, version: int
    ) -> RouteReply:
        explained = self.choosers.explain(service.service_id, query.flow_id)
        if isinstance(explained, Err):
            # The service is configured, but none of its targets is known.
            reason = str(NoTargetReason.NONE_ALIVE)
            return self._make_reply(query, version, reason=reason)
        return self._make_reply(
            query,
            version,
            candidates=[
                _describe(entry, service)
                for entry in explained.ok_value.assessments
            ],
            **_describe_choice(explained.ok_value.choice),
        )

    def _make_reply(
        self,
        query: RouteQuery,
        version: int,
        *,
        reason: str = '',
        target_id: str = '',
        **lists: list,
    ) -> RouteReply:
        return RouteReply(
            query_id=query.query_id,
            member_id=self.node.member_id,
            availability_zone=self.node.availability_zone,
            configuration_version=version,
            reason=reason,
            target_id=target_id,
            **lists,
        )


def _describe_choice(choice: Result[Choice, NoTarget]) -> dict[str, object]:
    match choice:
        case Ok(Choice(target, alternates)):
            return {
                'target_id': target.target_id,
                'alternates': [entry.target_id for entry in alternates],
            }
        case Err(NoTarget(_, reason)):
            return {'reason': str(reason)}
    return {}


def _describe(entry: Assessment, service: Service) -> RouteCandidate:
    target = entry.target
    age_ms = _NO_REPORT
    if entry.report_age_s is not None:
        age_ms = entry.report_age_s * _MS_PER_S
    return RouteCandidate(
        target_id=target.target_id,
        address=f'{target.address[0]}:{target.address[1]}',
        availability_zone=target.availability_zone,
        state=str(target.state),
        left_out=_find_cause(entry, service),
        requests=round(entry.requests, 3),
        wait_ms=round(entry.wait_s * _MS_PER_S, 3),
        report_age_ms=round(age_ms, 1),
    )


def _find_cause(entry: Assessment, service: Service) -> str:
    """Return why a target is left out, with the cause of a drain."""
    if entry.left_out is not LeftOut.DRAINING:
        return str(entry.left_out)
    if entry.target.target_id in service.drained_targets:
        return 'drained'
    if entry.target.availability_zone in list_drained_zones(service):
        return 'zone_drained'
    return str(entry.left_out)
