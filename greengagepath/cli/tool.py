"""The command-line tool `greengagepath` and its subcommands."""

import os
import sys
from dataclasses import dataclass
from importlib.metadata import PackageNotFoundError, version

import cappa
from rich.console import Console

from ..foundation.exit_codes import ExitCode
from ..foundation.logs import configure_logs
from ..generated.settings import LogSettings
from .apply import Apply
from .bench import Bench
from .call import Call
from .check import Check
from .demo import Demo
from .drain import Drain
from .explain import Explain
from .init import Init
from .report import Report
from .route import Route
from .status import Status
from .undrain import Undrain

COMPLETION_COLUMNS = 1000


@cappa.command(
    name='greengagepath',
    help='Operate the layer-4 load balancer greengagepath.',
    description="""
Start with `init`, then `apply`, then `status`. Shell completion:
`greengagepath --completion generate >> ~/.bashrc`.
""",
)
@dataclass
class Tool:
    """Subcommands of the tool."""

    command: cappa.Subcommands[
        Init
        | Check
        | Apply
        | Status
        | Route
        | Drain
        | Undrain
        | Call
        | Report
        | Explain
        | Demo
        | Bench
    ]


def run_tool(arguments: list[str] | None = None) -> ExitCode:
    """Run a command line, by default that of the process; return its code.

    Raises SystemExit for help and for wrong usage.
    """
    # Log lines go to the same stream as the messages of the tool, so only
    # errors are logged.
    configure_logs(LogSettings(level='error', style='text'), 'tool', '-')
    outcome = cappa.invoke(
        Tool,
        argv=arguments,
        version=_find_version(),
        output=_make_output(arguments or sys.argv[1:]),
        color=sys.stdout.isatty() and 'NO_COLOR' not in os.environ,
    )
    return ExitCode(outcome)


def _make_output(arguments: list[str]) -> cappa.Output:
    prints_completion = any(
        entry.startswith('--completion') for entry in arguments
    )
    if not prints_completion:
        return cappa.Output()
    # Lines wrapped at the width of a terminal would break the completion
    # script.
    console = Console(
        file=sys.stdout, theme=cappa.output.theme, width=COMPLETION_COLUMNS
    )
    return cappa.Output(output_console=console)


def _find_version() -> str:
    try:
        return version('greengagepath')
    except PackageNotFoundError:
        return 'unknown'
