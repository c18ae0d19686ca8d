"""Options shared by several commands."""

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
        help='Settings of the tool: object API, balancers and keys.',
    ),
]
JsonOption = Annotated[
    bool,
    cappa.Arg(long='--json', help='Print JSON for use by programs.'),
]
WaitOption = Annotated[
    float,
    cappa.Arg(
        long='--wait-s',
        value_name='SECONDS',
        help='Longest wait until the change is in force on all balancers.',
    ),
]
ConfigurationOption = Annotated[
    Path | None,
    cappa.Arg(
        short='-c',
        long='--configuration',
        value_name='FILE',
        help='Use this file instead of the stored configuration.',
    ),
]
ServiceOption = Annotated[
    str | None,
    cappa.Arg(
        long='--service',
        value_name='NAME',
        help='Service of the targets; by default looked up by their ids,'
        ' and all services for --zone.',
    ),
]
ZonesOption = Annotated[
    list[str],
    cappa.Arg(
        long='--zone',
        value_name='ZONE',
        help='Availability zone whose targets are meant, also those that'
        ' join it later; can be repeated.',
    ),
]
TargetsArgument = Annotated[
    list[str],
    cappa.Arg(
        value_name='TARGET',
        num_args=-1,
        help='Member ids as shown by `status`; not together with --zone.',
    ),
]
