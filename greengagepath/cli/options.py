"""Options that several commands share, declared once."""

from pathlib import Path
from typing import Annotated

import cappa

DEFAULT_SETTINGS = Path('greengagepath.toml')
DEFAULT_CONFIGURATION = Path('configuration.toml')
DEFAULT_WAIT_S = 10.0

SettingsOption = Annotated[
    Path,
    cappa.Arg(
        short='-s',
        long='--settings',
        value_name='FILE',
        help='Settings of the tool: object API, balancers, keys.',
    ),
]
JsonOption = Annotated[
    bool,
    cappa.Arg(long='--json', help='Print JSON, for other programs.'),
]
WaitOption = Annotated[
    float,
    cappa.Arg(
        long='--wait-s',
        value_name='SECONDS',
        help='How long to wait until the change is in force everywhere.',
    ),
]
ConfigurationOption = Annotated[
    Path | None,
    cappa.Arg(
        short='-c',
        long='--configuration',
        value_name='FILE',
        help='Use this file instead of the configuration in force.',
    ),
]
ServiceOption = Annotated[
    str | None,
    cappa.Arg(
        long='--service',
        value_name='NAME',
        help='Service of the targets; found by their records if left out.',
    ),
]
TargetsArgument = Annotated[
    list[str],
    cappa.Arg(
        value_name='TARGET',
        num_args=-1,
        required=True,
        help='Member ids as `status` shows them.',
    ),
]
