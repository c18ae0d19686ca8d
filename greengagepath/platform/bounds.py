"""Bounds of the deployment that limits are derived from."""

import logging
import math
from collections.abc import Mapping

from ..foundation.logs import log_event
from ..steering.settings import DEFAULT_APPLY_LIMIT_S

APPLY_VARIABLE = 'GREENGAGEPATH_CONFIG_APPLY_MS'
_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


def read_apply_limit_s(environment: Mapping[str, str]) -> float:
    """Return the time in which a configuration has to be in force, in s.

    The platform gives it in ms. The default holds where it is missing or
    no positive number.
    """
    text = environment.get(APPLY_VARIABLE, '')
    if not text:
        return DEFAULT_APPLY_LIMIT_S
    try:
        limit_s = float(text) / _MS_PER_S
    except ValueError:
        limit_s = math.nan
    if limit_s > 0 and math.isfinite(limit_s):
        return limit_s
    log_event(
        _logger,
        'settings.ignored',
        level=logging.WARNING,
        name=APPLY_VARIABLE,
        reason='not a positive number',
        default_s=DEFAULT_APPLY_LIMIT_S,
    )
    return DEFAULT_APPLY_LIMIT_S
