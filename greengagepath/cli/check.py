"""`check`: reports all errors in files, offline."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok, Result

from ..configuration.files import load_configuration
from ..configuration.questionnaire import load_answers
from ..foundation.exit_codes import ExitCode
from ..foundation.settings import load_settings, load_tool_settings
from ..foundation.tls import load_tls
from ..foundation.validation import SettingProblem, TomlDocument, read_toml
from ..output.console import make_console, print_problems
from ..protocol.keys import load_keys

_CheckResult = Result[object, list[SettingProblem]]


@cappa.command(
    help='Check files offline and report all errors at once.',
    description="""
The kind of a file is detected from its content: a configuration,
answers to the questionnaire, or settings of a daemon or of the tool.
Settings are checked together with the key and certificate files that
they refer to.

Examples:

- `greengagepath check configuration.toml`
- `greengagepath check balancer-*.toml greengagepath.toml`
""",
)
@dataclass
class Check:
    """Options of `check`."""

    files: Annotated[
        list[Path],
        cappa.Arg(
            value_name='FILE',
            num_args=-1,
            required=True,
            help='Files to check.',
        ),
    ]

    def __call__(self) -> ExitCode:
        """Check each file; return BAD_USAGE if any has a problem."""
        code = ExitCode.OK
        for path in self.files:
            match check_file(path):
                case Ok():
                    make_console().print(f'{path}: ok', markup=False)
                case Err(problems):
                    print_problems(problems)
                    code = ExitCode.BAD_USAGE
        return code


def check_file(path: Path) -> _CheckResult:
    """Return the content of a file of any kind, or its problems."""
    return read_toml(path).and_then(
        lambda document: _check_document(document, path)
    )


def _check_document(document: TomlDocument, path: Path) -> _CheckResult:
    if 'deployment' in document.raw:
        return load_answers(path)
    if 'services' in document.raw:
        return load_configuration(path)
    if 'role' in document.raw:
        return load_settings(path).and_then(_check_referenced_files)
    if 'object_api' in document.raw:
        return load_tool_settings(path).and_then(_check_referenced_files)
    allowed = 'services, deployment, role or object_api'
    return Err([document.create_problem('file', list(document.raw), allowed)])


def _check_referenced_files(settings) -> _CheckResult:
    problems: list[SettingProblem] = []
    keys = load_keys(settings)
    if isinstance(keys, Err):
        problems.extend(keys.err_value)
    if settings.tls is not None:
        contexts = load_tls(settings.tls)
        if isinstance(contexts, Err):
            problems.extend(contexts.err_value)
    return Err(problems) if problems else Ok(settings)
