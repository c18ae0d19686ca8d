"""Exit codes of the daemon and the command-line tool."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit code of a process."""

    OK = 0
    FAILURE = 1
    # Invalid command line, or an invalid setting.
    BAD_USAGE = 2
    # Another writer changed the same object first.
    CONFLICT = 3
    UNREACHABLE = 4
    TIMEOUT = 5
    INVARIANT_VIOLATED = 6
