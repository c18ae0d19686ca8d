"""`drain`: stops new work for targets; work in progress finishes."""

from dataclasses import dataclass

import cappa

from .draining import DrainOptions


@cappa.command(
    help='Stop new work for targets; work in progress finishes.',
    description="""
The drain is stored in the configuration, so it persists across
restarts and `apply`. New work stops within 3 s; work in progress
finishes. A drained availability zone includes targets that join it
later; `status` shows it.

Examples:

- `greengagepath drain licence-core-3`
- `greengagepath drain licence-core-3 licence-core-4 --service licence-core`
- `greengagepath drain --zone perth-a`
- `greengagepath drain --zone perth-a --zone perth-b --service report-desk`
""",
)
@dataclass
class Drain(DrainOptions):
    """Options of `drain`."""

    drained = True
