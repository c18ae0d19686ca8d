"""`route`: shows where a new request would go now, and why."""

import random
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from result import Err, Ok, Result

from ..configuration.rollout import UnknownName
from ..daemon.connections import Connections, open_connections
from ..foundation.addresses import Address
from ..foundation.exit_codes import ExitCode
from ..generated.messages import (
    MemberKind,
    MemberRecord,
    MemberState,
    RouteReply,
)
from ..output.console import (
    make_console,
    print_error,
    print_json,
    print_problems,
    print_warning,
)
from ..output.route_table import render_route
from ..routing.choice import NoTargetReason
from .options import DEFAULT_SETTINGS, JsonOption, SettingsOption

# The largest flow id that the schema can bound.
FLOW_ID_BITS = 63
UNKNOWN_SERVICE = str(NoTargetReason.UNKNOWN_SERVICE)
_ANSWERING_STATES = (MemberState.alive, MemberState.suspect)


@cappa.command(
    help='Show where a new request would go now, and why.',
    description="""
Queries balancers in order; the first that answers computes the choice
for a random flow with the rules and the load it has at this moment.
Nothing is sent to a target and nothing counts as a request.

Examples:

- `greengagepath route licence-core`
- `greengagepath route licence-core --zone perth-a --json`
""",
)
@dataclass
class Route:
    """Options of `route`."""

    service: Annotated[
        str, cappa.Arg(value_name='SERVICE', help='Name of the service.')
    ]
    zone: Annotated[
        str | None,
        cappa.Arg(
            long='--zone',
            value_name='ZONE',
            help='Query the balancers of this availability zone instead of'
            ' those in the settings.',
        ),
    ] = None
    settings: SettingsOption = DEFAULT_SETTINGS
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        with open_connections(self.settings) as opened:
            match opened:
                case Ok(connections):
                    return self._run(connections)
                case Err(problems):
                    print_problems(problems)
        return ExitCode.BAD_USAGE

    def _run(self, connections: Connections) -> ExitCode:
        match self._list_addresses(connections):
            case Ok(addresses):
                return self._query(connections, addresses)
            case Err(UnknownName(message)):
                print_error(message, 'see `greengagepath status --json`')
                return ExitCode.BAD_USAGE
            case Err(reason):
                _report_unreachable(reason)
        return ExitCode.UNREACHABLE

    def _list_addresses(
        self, connections: Connections
    ) -> Result[list[Address], UnknownName | str]:
        if self.zone is None:
            return Ok(connections.list_addresses())
        return connections.query_any().and_then(
            lambda reply: _list_zone_balancers(reply.records, self.zone)
        )

    def _query(
        self, connections: Connections, addresses: list[Address]
    ) -> ExitCode:
        flow_id = random.getrandbits(FLOW_ID_BITS)
        for address in addresses:
            match connections.balancers.query_route(
                address, self.service, flow_id
            ):
                case Ok(reply):
                    return self._print_reply(reply)
                case Err(reason):
                    print_warning(
                        f'{address[0]}:{address[1]} did not answer: {reason}'
                    )
        _report_unreachable(f'{len(addresses)} were queried')
        return ExitCode.UNREACHABLE

    def _print_reply(self, reply: RouteReply) -> ExitCode:
        if reply.reason == UNKNOWN_SERVICE:
            names = ', '.join(reply.services) or 'none'
            print_error(
                f'no service is named {self.service}; there are: {names}'
            )
            return ExitCode.BAD_USAGE
        if self.as_json:
            print_json(msgspec.to_builtins(reply))
        else:
            make_console().print(render_route(reply, self.service))
        return ExitCode.OK


def _report_unreachable(reason: object) -> None:
    print_error(
        f'no balancer answered: {reason}',
        'list running balancers in the settings',
    )


def _list_zone_balancers(
    records: list[MemberRecord], zone: str | None
) -> Result[list[Address], UnknownName]:
    balancers = [
        record
        for record in records
        if record.kind == MemberKind.balancer
        and record.state in _ANSWERING_STATES
    ]
    addresses = [
        (record.host, record.control_port)
        for record in balancers
        if record.availability_zone == zone
    ]
    if addresses:
        return Ok(addresses)
    known = sorted({record.availability_zone for record in balancers})
    return Err(
        UnknownName(
            f'no balancer is in availability zone {zone};'
            f' zones with balancers: {", ".join(known)}'
        )
    )
