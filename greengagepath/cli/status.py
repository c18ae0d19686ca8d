"""`status`: shows members and versions as known to one balancer."""

from dataclasses import dataclass, field
from typing import Annotated

import cappa
import gevent
import msgspec
from result import Err, Ok

from ..configuration.rollout import query_any
from ..daemon.connections import Connections, open_connections
from ..foundation.exit_codes import ExitCode
from ..foundation.settings import parse_address
from ..output.console import (
    make_console,
    print_error,
    print_json,
    print_problems,
)
from ..output.drained_zones import count_drained_zones
from ..output.status_table import render_status
from .options import DEFAULT_SETTINGS, JsonOption, SettingsOption

DEFAULT_EVERY_S = 2.0


@cappa.command(
    help='Show members and the configuration in force.',
    description="""
Queries balancers in order and shows the reply of the first that
answers. Does not need the object API.

Examples:

- `greengagepath status`
- `greengagepath status --watch`
- `greengagepath status --json --balancer 10.0.0.7:4001`
""",
)
@dataclass
class Status:
    """Options of `status`."""

    settings: SettingsOption = DEFAULT_SETTINGS
    balancers: Annotated[
        list[str],
        cappa.Arg(
            long='--balancer',
            value_name='ADDRESS',
            help='Query this balancer instead of those in the settings;'
            ' can be repeated.',
        ),
    ] = field(default_factory=list)
    as_json: JsonOption = False
    watch: Annotated[
        bool, cappa.Arg(long=True, help='Repeat until interrupted.')
    ] = False
    every_s: Annotated[
        float,
        cappa.Arg(long=True, value_name='SECONDS', help='Interval of --watch.'),
    ] = DEFAULT_EVERY_S

    def __call__(self) -> ExitCode:
        """Run the command."""
        for text in self.balancers:
            if parse_address(text) is None:
                print_error(
                    f'invalid address {text}',
                    'use an IPv4 address and port such as 10.0.0.7:4001',
                )
                return ExitCode.BAD_USAGE
        with open_connections(self.settings) as opened:
            match opened:
                case Ok(connections):
                    return self._run(connections)
                case Err(problems):
                    print_problems(problems)
        return ExitCode.BAD_USAGE

    def _run(self, connections: Connections) -> ExitCode:
        code = self._print_status(connections)
        try:
            while self.watch:
                gevent.sleep(self.every_s)
                make_console().clear()
                code = self._print_status(connections)
        except KeyboardInterrupt:
            return ExitCode.OK
        return code

    def _print_status(self, connections: Connections) -> ExitCode:
        addresses = [
            address
            for address in map(parse_address, self.balancers)
            if address is not None
        ]
        match query_any(
            connections.balancers, addresses or connections.list_addresses()
        ):
            case Ok(reply) if self.as_json:
                counts = count_drained_zones(reply)
                print_json(
                    {**msgspec.to_builtins(reply), 'drained_zones': counts}
                )
            case Ok(reply):
                make_console().print(render_status(reply))
            case Err(reason):
                print_error(
                    f'no balancer answered: {reason}',
                    'list running balancers in the settings or with --balancer',
                )
                return ExitCode.UNREACHABLE
        return ExitCode.OK
