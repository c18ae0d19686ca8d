"""`demo`: the whole system as processes on 127.0.0.1."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from ..foundation.exit_codes import ExitCode
from .options import JsonOption

DEFAULT_SECONDS = 12
MAX_SECONDS = 60


@cappa.command(
    help='Start the whole system on 127.0.0.1 and break it on purpose.',
    description="""
Starts stand-ins of the platform, balancers and targets, sends a mixed
load, and meanwhile kills a balancer, starts one, drains and adds
targets and applies a configuration. Ends with 0 only if nothing was
lost, duplicated or cut.

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
            help='Length of the load, at most 60.',
        ),
    ] = DEFAULT_SECONDS
    scenario: Annotated[
        Literal['cooperative', 'jinhua'],
        cappa.Arg(long=True, help='Whose services are shown.'),
    ] = 'cooperative'
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        if not 0 < self.seconds <= MAX_SECONDS:
            raise cappa.Exit(
                f'--seconds is from 1 to {MAX_SECONDS}',
                code=int(ExitCode.BAD_USAGE),
            )
        # The stand-ins are loaded only where they are used.
        from ..emulator.demo import run_demo

        return run_demo(self)
