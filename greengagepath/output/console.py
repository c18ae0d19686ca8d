"""Terminal output of the tool.

Colours are used only on a terminal and not if NO_COLOR is set.
"""

import sys
from collections.abc import Iterable

import msgspec
from rich.console import Console
from rich.markup import escape

from ..configuration.diff import ABSENT, FieldChange

# Width of tables written to files and pipes, which have no width.
FILE_COLUMNS = 140


def make_console() -> Console:
    """Return a console for the current standard output."""
    width = None if sys.stdout.isatty() else FILE_COLUMNS
    return Console(highlight=False, soft_wrap=True, width=width)


def print_error(message: object, advice: str = '') -> None:
    """Print an error, and advice if there is any, on standard error."""
    _print_message('[red]error:[/red]', message, advice)


def print_warning(message: object, advice: str = '') -> None:
    """Print a warning, and advice if there is any, on standard error."""
    _print_message('[yellow]warning:[/yellow]', message, advice)


def print_problems(problems: Iterable[object]) -> None:
    """Print one line for each problem on standard error."""
    for problem in problems:
        print_error(problem)


def print_json(content: object) -> None:
    """Print `content` as JSON on one line."""
    text = msgspec.json.encode(content, enc_hook=str).decode()
    make_console().out(text, highlight=False)


def print_changes(changes: Iterable[FieldChange]) -> None:
    """Print a line for each added, removed or changed field."""
    console = make_console()
    for change in changes:
        path = escape(change.path)
        before = escape(change.before)
        after = escape(change.after)
        if change.before == ABSENT:
            console.print(f'[green]+ {path}: {after}[/green]')
        elif change.after == ABSENT:
            console.print(f'[red]- {path}: {before}[/red]')
        else:
            console.print(f'[yellow]~ {path}: {before} -> {after}[/yellow]')


def _print_message(label: str, message: object, advice: str) -> None:
    console = Console(stderr=True, highlight=False, soft_wrap=True)
    console.print(f'{label} {escape(str(message))}')
    if advice:
        console.print(f'  {escape(advice)}')
