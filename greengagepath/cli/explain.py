"""`explain`: traces one flow through the logs of all processes."""

import sys
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ..foundation.exit_codes import ExitCode
from ..output.console import make_console, print_error, print_json
from ..output.flow_trace import collect_trace, find_verdict
from .options import JsonOption


@cappa.command(
    help='Trace a flow through log files.',
    description="""
Reads the log files, or standard input if none is given. FLOW is the
flow as written in the logs, or a part of it, such as the address and
port of the caller.

Examples:

- `greengagepath explain 100.64.0.4:1042 balancer-*.log agent-*.log`
- `greengagepath explain '100.64.0.4:1042>198.18.0.1:443' --json < all.log`
""",
)
@dataclass
class Explain:
    """Options of `explain`."""

    flow: Annotated[
        str, cappa.Arg(value_name='FLOW', help='Flow or a part of it.')
    ]
    logs: Annotated[
        list[Path], cappa.Arg(value_name='LOG', help='Log files.')
    ] = field(default_factory=list)
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Print the log events of the flow in order, then the outcome."""
        try:
            trace = collect_trace(self.flow, self._read_lines())
        except OSError as error:
            print_error(str(error))
            return ExitCode.BAD_USAGE
        if not trace:
            print_error(f'no log line matches flow {self.flow}')
            return ExitCode.FAILURE
        verdict = find_verdict(trace)
        if self.as_json:
            lines = [asdict(line) for line in trace]
            print_json({'lines': lines, 'verdict': verdict})
            return ExitCode.OK
        console = make_console()
        for line in trace:
            console.print(line.describe(), markup=False, highlight=False)
        console.print(verdict, markup=False, highlight=False)
        return ExitCode.OK

    def _read_lines(self) -> Iterator[str]:
        if not self.logs:
            yield from sys.stdin
        for path in self.logs:
            with path.open(errors='replace') as opened:
                yield from opened
