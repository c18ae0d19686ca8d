"""Start of a balancer from its settings."""

import logging
from collections.abc import Iterable
from pathlib import Path

from result import Err, Ok

from ..exit_codes import ExitCode
from ..generated.settings import Settings
from ..keys import KeyReloader, load_keys
from ..logs import configure_logs, log_event
from ..tls import load_tls
from .balancer import Balancer

_logger = logging.getLogger(__name__)


def run_balancer(settings: Settings, path: str | Path) -> ExitCode:
    """Run a balancer until it is told to end.

    `path` is the settings file; keys are read again when they change.
    """
    configure_logs(settings.log, str(settings.role), settings.node.member_id)
    keys = load_keys(settings)
    tls = load_tls(settings.tls) if settings.tls else Ok(None)
    if isinstance(keys, Err):
        return _refuse_settings(keys.err_value)
    if isinstance(tls, Err):
        return _refuse_settings(tls.err_value)
    try:
        balancer = Balancer(settings, keys.ok_value, tls.ok_value)
    except OSError as error:
        return _refuse_settings([f'node.data_port: {error}'])
    reloader = KeyReloader(path, settings, keys.ok_value)
    balancer.reload_with(reloader.reload_if_changed)
    if tls.ok_value is not None:
        balancer.reload_with(tls.ok_value.reload_if_changed)
    try:
        balancer.start()
    except OSError as error:
        ports = 'node.metrics_port or node.control_port'
        return _refuse_settings([f'{ports}: {error}'])
    return balancer.wait()


def _refuse_settings(problems: Iterable[object]) -> ExitCode:
    for problem in problems:
        log_event(
            _logger,
            'balancer.refused_settings',
            level=logging.ERROR,
            problem=str(problem),
        )
    return ExitCode.BAD_USAGE
