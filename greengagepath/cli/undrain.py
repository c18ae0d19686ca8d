"""`undrain`: give drained targets new work again."""

from dataclasses import dataclass

import cappa

from .draining import DrainOptions


@cappa.command(
    help='Give drained targets new work again.',
    description="""
Targets ramp up from cold, over 10 s.

Examples:

- `greengagepath undrain licence-core-3`
""",
)
@dataclass
class Undrain(DrainOptions):
    """Options of `undrain`."""

    drained = False
