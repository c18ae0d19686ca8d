"""Bounds of the deployment that limits are derived from.

The platform gives them in the environment; a bound that the deployment
does not have is an empty text there.
"""

import logging
import math
from collections.abc import Mapping

from ..foundation.logs import log_event
from ..pace.cold_limit import ColdBounds
from ..steering.settings import DEFAULT_APPLY_LIMIT_S, DeploymentBounds

APPLY_VARIABLE = 'GREENGAGEPATH_CONFIG_APPLY_MS'
EVACUATE_VARIABLE = 'GREENGAGEPATH_EVACUATE_MS'
COLD_OVERAGE_VARIABLE = 'GREENGAGEPATH_COLD_OVERAGE'
COLD_SLACK_VARIABLE = 'GREENGAGEPATH_COLD_SLACK'
_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


def read_apply_limit_s(environment: Mapping[str, str]) -> float:
    """Return the time in which a configuration has to be in force, in s.

    The default holds where it is missing or no positive number.
    """
    default_ms = DEFAULT_APPLY_LIMIT_S * _MS_PER_S
    return _read(environment, APPLY_VARIABLE, default_ms) / _MS_PER_S


def read_zone_bounds(
    environment: Mapping[str, str], bounds: DeploymentBounds
) -> None:
    """Set the bounds of evacuations and cold targets that there are."""
    bounds.evacuate_s = _read(environment, EVACUATE_VARIABLE, 0) / _MS_PER_S
    overage = _read(environment, COLD_OVERAGE_VARIABLE, 0)
    if overage:
        slack = _read(environment, COLD_SLACK_VARIABLE, 0, allows_zero=True)
        bounds.cold = ColdBounds(overage, slack)


def _read(
    environment: Mapping[str, str],
    name: str,
    default: float,
    *,
    allows_zero: bool = False,
) -> float:
    """Return a positive number, or the default where there is none."""
    text = environment.get(name, '')
    if not text:
        return default
    try:
        found = float(text)
    except ValueError:
        found = math.nan
    is_valid = found >= 0 if allows_zero else found > 0
    if is_valid and math.isfinite(found):
        return found
    log_event(
        _logger,
        'settings.ignored',
        level=logging.WARNING,
        name=name,
        reason='not a positive number',
        default=default,
    )
    return default
