"""`undrain`: give drained targets new work again."""

from dataclasses import dataclass

import cappa

from ..exit_codes import ExitCode
from .changes import ChangeOptions
from .draining import DrainRequest, run_drain
from .options import (
    DEFAULT_SETTINGS,
    DEFAULT_WAIT_S,
    JsonOption,
    ServiceOption,
    SettingsOption,
    TargetsArgument,
    WaitOption,
)


@cappa.command(
    help='Give drained targets new work again.',
    description="""
Targets ramp up from cold, over 10 s.

Examples:

- `greengagepath undrain licence-core-3`
""",
)
@dataclass
class Undrain:
    """Options of `undrain`."""

    targets: TargetsArgument
    service: ServiceOption = None
    settings: SettingsOption = DEFAULT_SETTINGS
    wait_s: WaitOption = DEFAULT_WAIT_S
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        request = DrainRequest(tuple(self.targets), self.service, drained=False)
        options = ChangeOptions(self.wait_s, self.as_json)
        return run_drain(self.settings, request, options)
