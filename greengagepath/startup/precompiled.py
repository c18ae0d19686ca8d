"""Patterns and methods that are compiled when the bundle is built.

The modules of a role compile 29 regular expressions as they load, and the
methods of h11's data classes from text. That takes 5 ms of processor time.
The tables have the compiled forms, which hold for the Python version that
wrote them; the bundle names it. What they lack is compiled as usual.
"""

import _sre

Pattern = str | bytes
# Arguments of `_sre.compile`.
PatternArguments = tuple[Pattern, int, list[int], int, dict[str, int], tuple]


class PatternTable:
    """Regular expressions by their text and flags."""

    # Module of the standard library that compiles patterns.
    module = 're._compiler'

    def __init__(
        self, arguments_by_key: dict[tuple[Pattern, int], PatternArguments]
    ) -> None:
        self._arguments_by_key = arguments_by_key

    def install(self, module) -> None:
        """Let the module look up a pattern before it compiles it."""
        self._compile = module.compile
        module.compile = self.compile

    def compile(self, pattern: object, flags: int = 0):
        """Return the compiled pattern; raises what `re.compile` does."""
        if isinstance(pattern, (str, bytes)):
            arguments = self._arguments_by_key.get((pattern, int(flags)))
            if arguments is not None:
                return _sre.compile(*arguments)
        return self._compile(pattern, flags)


class SourceTable:
    """Code of the functions that `dataclass` makes, by their text."""

    # Module of the standard library that makes the functions.
    module = 'dataclasses'

    def __init__(self, code_by_source: dict[str, object]) -> None:
        self._code_by_source = code_by_source

    def install(self, module) -> None:
        """Let the module look up a text before it runs it."""
        module.exec = self.run

    def run(self, source: str, names: dict, found: dict) -> None:
        """Run the text, as the built-in function `exec` does."""
        exec(self._code_by_source.get(source, source), names, found)
