"""`drain`: let targets finish their work and give them no new work."""

from dataclasses import dataclass

import cappa

from .draining import DrainOptions


@cappa.command(
    help='Let targets finish their work and give them no new work.',
    description="""
The change is stored, so that it outlives restarts; new work stops
within 3 s, work in progress finishes.

Examples:

- `greengagepath drain licence-core-3`
- `greengagepath drain licence-core-3 licence-core-4 --service licence-core`
""",
)
@dataclass
class Drain(DrainOptions):
    """Options of `drain`."""

    drained = True
