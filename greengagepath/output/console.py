"""Consoles of the tool; colours only on a terminal, see NO_COLOR."""

import sys
from collections.abc import Iterable

import msgspec
from rich.console import Console
from rich.markup import escape

from ..configuration.diff import ABSENT, FieldChange

# Width of tables in files and pipes, which have none of their own.
FILE_COLUMNS = 140


def make_console() -> Console:
    """Return a console on the standard output of this moment."""
    width = None if sys.stdout.isatty() else FILE_COLUMNS
    return Console(highlight=False, soft_wrap=True, width=width)


def print_error(message: object, advice: str = '') -> None:
    """Print what went wrong, and what to do, on standard error."""
    console = Console(stderr=True, highlight=False, soft_wrap=True)
    console.print(f'[red]error:[/red] {escape(str(message))}')
    if advice:
        console.print(f'  {escape(advice)}')


def print_problems(problems: Iterable[object]) -> None:
    """Print one line for each problem on standard error."""
    for problem in problems:
        print_error(problem)


def print_json(content: object) -> None:
    """Print one JSON object on one line."""
    text = msgspec.json.encode(content, enc_hook=str).decode()
    make_console().out(text, highlight=False)


def print_changes(changes: Iterable[FieldChange]) -> None:
    """Print changed fields, as removed, added or changed."""
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
