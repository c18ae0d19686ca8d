"""`bench`: the experiments of `make bench`."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..exit_codes import ExitCode

DEFAULT_OUTPUT = Path('build')


@cappa.command(
    help='Run the experiments and write bench.json.',
    description="""
Ends with 1 if a measure misses its bound.

Examples:

- `greengagepath bench`
- `greengagepath bench --output /tmp/run`
""",
)
@dataclass
class Bench:
    """Options of `bench`."""

    output: Annotated[
        Path,
        cappa.Arg(
            short=True,
            long=True,
            value_name='FOLDER',
            help='Where bench.json is written.',
        ),
    ] = DEFAULT_OUTPUT

    def __call__(self) -> ExitCode:
        """Run the command."""
        # The experiments are loaded only where they are used.
        from ..bench.runner import run_benchmark

        return run_benchmark(self.output)
