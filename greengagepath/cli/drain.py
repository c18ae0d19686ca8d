"""`drain`: let targets finish their work and give them no new work."""

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
class Drain:
    """Options of `drain`."""

    targets: TargetsArgument
    service: ServiceOption = None
    settings: SettingsOption = DEFAULT_SETTINGS
    wait_s: WaitOption = DEFAULT_WAIT_S
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        request = DrainRequest(tuple(self.targets), self.service, drained=True)
        options = ChangeOptions(self.wait_s, self.as_json)
        return run_drain(self.settings, request, options)
