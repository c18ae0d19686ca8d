"""Compiles patterns and methods of the loaded modules for the bundle."""

import dataclasses
import re

from .precompiled import Pattern, PatternArguments


class SourceRecorder:
    """Compiles each text that `dataclass` runs, and keeps the code."""

    def __init__(self) -> None:
        self.code_by_source: dict[str, object] = {}

    def install(self) -> None:
        """Record what classes make that are loaded from now on."""
        dataclasses.exec = self.run

    def run(self, source: str, names: dict, found: dict) -> None:
        """Run the text, as the built-in function `exec` does."""
        compiled = compile(source, '<string>', 'exec')
        self.code_by_source[source] = compiled
        exec(compiled, names, found)


def compile_loaded_patterns() -> dict[tuple[Pattern, int], PatternArguments]:
    """Return the arguments of all patterns that have been compiled.

    They are taken from the cache of `re`, which holds the last 512.
    """
    return {
        (pattern, int(flags)): _compile(pattern, int(flags))
        for _, pattern, flags in re._cache
    }


def _compile(pattern: Pattern, flags: int) -> PatternArguments:
    """Return the arguments with which `re` calls `_sre.compile`."""
    parsed = re._parser.parse(pattern, flags)
    state = parsed.state
    name_by_position = {
        position: name for name, position in state.groupdict.items()
    }
    arguments = (
        pattern,
        int(flags | state.flags),
        list(map(int, re._compiler._code(parsed, flags))),
        state.groups - 1,
        state.groupdict,
        tuple(map(name_by_position.get, range(state.groups))),
    )
    return arguments  # noqa: RET504
