"""`bench`: runs the experiments, as `make bench` does."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from ..foundation.exit_codes import ExitCode

DEFAULT_OUTPUT = Path('build')
DEFAULT_SEED = 1


@cappa.command(
    help='Run the experiments and write bench.json.',
    description="""
Exits with 1 if a measure misses its bound.

Examples:

- `greengagepath bench`
- `greengagepath bench --output /tmp/run --seed 2`
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
            help='Folder for bench.json.',
        ),
    ] = DEFAULT_OUTPUT
    seed: Annotated[
        int,
        cappa.Arg(long=True, value_name='N', help='Seed of the experiments.'),
    ] = DEFAULT_SEED

    def __call__(self) -> ExitCode:
        """Run the command."""
        # Imported here, so that other commands do not load the experiments.
        from ..bench.runner import run_benchmark

        return run_benchmark(self.output, self.seed)
