"""Refusal of settings that cannot be used, for both roles."""

import logging
from collections.abc import Iterable

from ..foundation.exit_codes import ExitCode
from ..foundation.logs import log_event

_logger = logging.getLogger(__name__)


def refuse_settings(role: str, problems: Iterable[object]) -> ExitCode:
    """Log each problem as `<role>.refused_settings`; return the exit code."""
    for problem in problems:
        log_event(
            _logger,
            f'{role}.refused_settings',
            level=logging.ERROR,
            problem=str(problem),
        )
    return ExitCode.BAD_USAGE
