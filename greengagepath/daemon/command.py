"""Command line of the daemon `greengagepathd`."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err

from ..foundation.exit_codes import ExitCode
from ..foundation.settings import load_settings
from ..generated.settings import Role
from .agent import run_agent
from .balancer_start import run_balancer


@cappa.command(
    name='greengagepathd',
    help='Run a balancer, or the agent of a target.',
    description='The settings file determines the role of the process.',
)
@dataclass
class Daemon:
    """The command line options of the daemon."""

    config: Annotated[
        Path,
        cappa.Arg(
            long='--config',
            value_name='FILE',
            help='Settings of the daemon, in TOML.',
        ),
    ]

    def __call__(self) -> ExitCode:
        """Run the role set in the settings file; return the exit code."""
        loaded = load_settings(self.config)
        if isinstance(loaded, Err):
            for problem in loaded.err_value:
                sys.stderr.write(f'{problem}\n')
            return ExitCode.BAD_USAGE
        settings = loaded.ok_value
        match settings.role:
            case Role.balancer:
                return run_balancer(settings, self.config)
            case Role.agent:
                return run_agent(settings, self.config)


def run_daemon(arguments: list[str] | None = None) -> ExitCode:
    """Run the daemon with `arguments`, by default those of the process.

    Raises SystemExit for help and for wrong usage.
    """
    return ExitCode(cappa.invoke(Daemon, argv=arguments))
