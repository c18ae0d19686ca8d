"""`demo`: runs the whole system as processes on 127.0.0.1."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..foundation.exit_codes import ExitCode
from .options import JsonOption

DEFAULT_SECONDS = 12
MAX_SECONDS = 60


@cappa.command(
    help='Run the whole system on 127.0.0.1 and inject failures.',
    description="""
Starts stand-ins for the platform, balancers and targets, and sends a
mixed load. During the load it kills a balancer, starts another, drains
and adds targets and applies a configuration. Exits with 0 only if no
request was lost or run twice and no flow was broken.

Examples:

- `greengagepath demo`
- `greengagepath demo --scenario jinhua --seed 7 --json`
""",
)
@dataclass
class Demo:
    """Options of `demo`."""

    seed: Annotated[
        int, cappa.Arg(long=True, value_name='N', help='Seed of the load.')
    ] = 1
    seconds: Annotated[
        int,
        cappa.Arg(
            long=True,
            value_name='N',
            help='Duration of the load in seconds, at most 60.',
        ),
    ] = DEFAULT_SECONDS
    scenario: Annotated[
        Literal['cooperative', 'jinhua'],
        cappa.Arg(long=True, help='Example deployment to run.'),
    ] = 'cooperative'
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        if not 0 < self.seconds <= MAX_SECONDS:
            raise cappa.Exit(
                f'--seconds must be from 1 to {MAX_SECONDS}',
                code=int(ExitCode.BAD_USAGE),
            )
        # Imported here, so that other commands do not load the stand-ins.
        from ..emulator.demo import run_demo

        return run_demo(self)
