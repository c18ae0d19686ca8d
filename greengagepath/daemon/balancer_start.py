"""Starts a balancer from its settings."""

from pathlib import Path

from result import Err, Ok

from ..foundation.exit_codes import ExitCode
from ..foundation.logs import configure_logs
from ..foundation.tls import load_tls
from ..generated.settings import Settings
from ..protocol.keys import KeyReloader, load_keys
from .balancer import Balancer
from .reloads import Reloader
from .start_checks import refuse_settings


def run_balancer(settings: Settings, path: str | Path) -> ExitCode:
    """Run a balancer until a signal stops it; return its exit code.

    `path` is the settings file; keys and certificates are reloaded when
    they change.
    """
    configure_logs(settings.log, str(settings.role), settings.node.member_id)
    keys = load_keys(settings)
    tls = load_tls(settings.tls) if settings.tls else Ok(None)
    if isinstance(keys, Err):
        return refuse_settings('balancer', keys.err_value)
    if isinstance(tls, Err):
        return refuse_settings('balancer', tls.err_value)
    try:
        balancer = Balancer(settings, keys.ok_value, tls.ok_value)
    except OSError as error:
        return refuse_settings('balancer', [f'node.data_port: {error}'])
    reloaders: list[Reloader] = [KeyReloader(path, settings, keys.ok_value)]
    if tls.ok_value is not None:
        reloaders.append(tls.ok_value)
    balancer.reload_with(*reloaders)
    try:
        balancer.start()
    except OSError as error:
        ports = 'node.metrics_port or node.control_port'
        return refuse_settings('balancer', [f'{ports}: {error}'])
    return balancer.wait()
