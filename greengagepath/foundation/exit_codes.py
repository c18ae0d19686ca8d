"""Exit codes of the daemon and the tool."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """What a process tells the shell that started it."""

    OK = 0
    FAILURE = 1
    # Wrong usage of the command line, or a bad setting.
    BAD_USAGE = 2
    # Somebody else changed the same object first.
    CONFLICT = 3
    UNREACHABLE = 4
    TIMEOUT = 5
    INVARIANT_VIOLATED = 6
