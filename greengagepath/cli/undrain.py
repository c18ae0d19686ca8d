"""`undrain`: lets drained targets receive new work again."""

from dataclasses import dataclass

import cappa

from .draining import DrainOptions


@cappa.command(
    help='Let drained targets receive new work again.',
    description="""
The targets get new flows at once, by their load.
Targets that are drained by their id stay drained after --zone.

Examples:

- `greengagepath undrain licence-core-3`
- `greengagepath undrain --zone perth-a`
""",
)
@dataclass
class Undrain(DrainOptions):
    """Options of `undrain`."""

    drained = False
