"""`init`: generates a configuration from answers about the services."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
import tomli_w
from result import Err, Ok, Result

from ..configuration.derivation import derive_services
from ..configuration.explanations import explain_derived_values
from ..configuration.files import format_configuration
from ..configuration.questionnaire import (
    find_contradictory_answers,
    load_answers,
)
from ..foundation.exit_codes import ExitCode
from ..foundation.validation import locate_keys
from ..generated.questionnaire import Answers
from ..output.console import make_console, print_error, print_problems
from .options import DEFAULT_CONFIGURATION


@cappa.command(
    help='Generate a configuration from answers about your services.',
    description="""
Without `--answers`, asks the questions on the terminal. Explains every
derived value on the terminal and in the file.

Examples:

- `greengagepath init`
- `greengagepath init --answers examples/cooperative.answers.toml`
- `greengagepath init --save-answers team.answers.toml`
""",
)
@dataclass
class Init:
    """Options of `init`."""

    answers: Annotated[
        Path | None,
        cappa.Arg(
            short=True,
            long=True,
            value_name='FILE',
            help='Answers in TOML; by default asked on the terminal.',
        ),
    ] = None
    output: Annotated[
        Path,
        cappa.Arg(
            short=True,
            long=True,
            value_name='FILE',
            help='Configuration file to write.',
        ),
    ] = DEFAULT_CONFIGURATION
    save_answers: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            value_name='FILE',
            help='Also write the answers to FILE, for use with --answers.',
        ),
    ] = None
    force: Annotated[
        bool, cappa.Arg(long=True, help='Overwrite existing files.')
    ] = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        for path in (self.output, self.save_answers):
            if path is not None and path.exists() and not self.force:
                print_error(
                    f'{path} already exists', 'use --force to overwrite it'
                )
                return ExitCode.BAD_USAGE
        match self._read_answers():
            case Ok(answers):
                return self._write(answers)
            case Err(problems):
                print_problems(problems)
        return ExitCode.BAD_USAGE

    def _read_answers(self) -> Result[Answers, list[object]]:
        if self.answers is not None:
            return load_answers(self.answers)
        if not sys.stdin.isatty():
            return Err(['standard input is not a terminal; use --answers FILE'])
        # Importing the prompts takes half a second, so that only an
        # interactive `init` does it.
        from .prompts import Cancelled, ask_questions

        try:
            return check_answers(ask_questions())
        except Cancelled:
            return Err(['cancelled, nothing was written'])

    def _write(self, answers: Answers) -> ExitCode:
        services = derive_services(answers)
        notes = explain_derived_values(answers)
        text = format_configuration(services, notes_by_key=notes)
        try:
            self._write_files(text, answers)
        except OSError as error:
            print_error(f'cannot write {error.filename}: {error.strerror}')
            return ExitCode.BAD_USAGE
        console = make_console()
        console.print(_render_notes(text, notes), markup=False)
        console.print(
            f'wrote {self.output}; next: greengagepath apply'
            f' {self.output} --dry-run',
            markup=False,
        )
        return ExitCode.OK

    def _write_files(self, text: str, answers: Answers) -> None:
        self.output.write_text(text, encoding='utf-8')
        if self.save_answers is not None:
            saved = tomli_w.dumps(msgspec.to_builtins(answers))
            self.save_answers.write_text(saved, encoding='utf-8')


def check_answers(answers: Answers) -> Result[Answers, list[object]]:
    """Return answers given on the terminal, or all contradictions."""
    problems: list[object] = [
        f'{key} = {found}: allowed: {allowed}'
        for key, found, allowed in find_contradictory_answers(answers)
    ]
    return Err(problems) if problems else Ok(answers)


def _render_notes(text: str, notes: dict[str, str]) -> str:
    lines = text.splitlines()
    lines_by_key = locate_keys(text)
    rendered = ['derived values:']
    for key, note in notes.items():
        number = lines_by_key.get(key)
        if number is not None:
            entry = lines[number - 1].partition('=')[2].strip()
            rendered.append(f'  {key} = {entry}')
            rendered.append(f'      {note}')
    return '\n'.join(rendered)
