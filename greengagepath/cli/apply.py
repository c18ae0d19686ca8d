"""`apply`: stores a configuration file and waits until it is in force."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok

from ..configuration.files import (
    ConfigurationFile,
    compute_digest,
    format_configuration,
    load_configuration,
    update_base,
)
from ..configuration.rollout import ChangePlan, plan_file
from ..daemon.connections import Connections, open_connections
from ..foundation.exit_codes import ExitCode
from ..output.console import make_console, print_error, print_problems
from .changes import (
    ChangeOptions,
    report_conflict,
    report_plan,
    run_plan,
)
from .options import (
    DEFAULT_SETTINGS,
    DEFAULT_WAIT_S,
    JsonOption,
    SettingsOption,
    WaitOption,
)


@cappa.command(
    help='Apply a configuration file on every balancer.',
    description="""
Shows the fields that change and stores the file, unless somebody else
has changed the configuration since the file was made. Then waits until
the new version is in force on every balancer, and lists the balancers
where it is not. Drained targets stay drained, see `drain`.
Exit codes: 2 bad file, 3 conflict, 4 unreachable, 5 not in force in
time.

Examples:

- `greengagepath apply configuration.toml --dry-run`
- `greengagepath apply configuration.toml`
- `greengagepath apply --fetch configuration.toml`
""",
)
@dataclass
class Apply:
    """Options of `apply`."""

    path: Annotated[
        Path, cappa.Arg(value_name='FILE', help='Configuration file.')
    ]
    settings: SettingsOption = DEFAULT_SETTINGS
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help='Show the changes, store nothing.')
    ] = False
    fetch: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help='Write the stored configuration to FILE and exit.',
        ),
    ] = False
    base_version: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name='VERSION',
            help='Replace this stored version, whatever `base` in FILE says.',
        ),
    ] = None
    wait_s: WaitOption = DEFAULT_WAIT_S
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        with open_connections(self.settings) as opened:
            match opened:
                case Ok(connections):
                    return self._run(connections)
                case Err(problems):
                    print_problems(problems)
        return ExitCode.BAD_USAGE

    def _run(self, connections: Connections) -> ExitCode:
        if self.fetch:
            return fetch_configuration(connections, self.path)
        match load_configuration(self.path):
            case Ok(content):
                return self._apply(connections, content)
            case Err(problems):
                print_problems(problems)
        return ExitCode.BAD_USAGE

    def _apply(
        self, connections: Connections, content: ConfigurationFile
    ) -> ExitCode:
        stored = connections.store.read()
        if isinstance(stored, Err):
            print_error(
                f'cannot read from the object API: {stored.err_value}',
                'nothing was changed; balancers keep their configuration',
            )
            return ExitCode.UNREACHABLE
        planned = plan_file(stored.ok_value, content, self.base_version)
        if isinstance(planned, Err):
            report_conflict(planned.err_value, as_json=self.as_json)
            return ExitCode.CONFLICT
        return self._execute_plan(connections, planned.ok_value)

    def _execute_plan(
        self, connections: Connections, plan: ChangePlan
    ) -> ExitCode:
        if self.dry_run:
            report_plan(plan, as_json=self.as_json)
            return ExitCode.OK
        options = ChangeOptions(self.wait_s, self.as_json)
        change_result = run_plan(connections, plan, options)
        if change_result.is_stored:
            update_base(self.path, compute_digest(plan.wanted.services))
        return change_result.code


def fetch_configuration(connections: Connections, path: Path) -> ExitCode:
    """Write the stored configuration to a file, replacing its content."""
    match connections.store.read():
        case Ok(stored):
            services = stored.configuration.services
            base = compute_digest(services)
            path.write_text(format_configuration(services, base))
            version = stored.configuration.version
            make_console().print(f'{path}: version {version}', markup=False)
            return ExitCode.OK
        case Err(reason):
            print_error(f'cannot read from the object API: {reason}')
    return ExitCode.UNREACHABLE
