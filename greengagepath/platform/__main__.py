"""Starts a role on a VM of the platform: `balancer` or `agent`."""

import gc
import os
import sys

import gevent
from result import Err

from ..foundation.exit_codes import ExitCode
from ..foundation.logs import DroppingStream, configure_logs
from ..foundation.start_steps import StartSteps
from ..steering.settings import SteeringSettings, load_steering_settings
from .bounds import read_apply_limit_s, read_zone_bounds
from .store import PlatformStore
from .wire import PlatformWire

SETTINGS_VARIABLE = 'GREENGAGEPATH_BOOT'


def main(steps: StartSteps | None = None) -> ExitCode:
    """Run the role named by the first argument until it is stopped.

    `steps` are those of the start so far.
    """
    role = sys.argv[1] if len(sys.argv) > 1 else ''
    loaded = load_steering_settings(os.environ.get(SETTINGS_VARIABLE, ''))
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value}\n')
        return ExitCode.BAD_USAGE
    settings = loaded.ok_value
    stream = DroppingStream(sys.stdout.fileno())
    configure_logs(settings.logs, role, settings.member_id, stream)
    _configure_gevent()
    steps = steps or StartSteps()
    steps.record('settings')
    return _run(role, settings, steps)


def _run(role: str, settings: SteeringSettings, steps: StartSteps) -> ExitCode:
    if settings.store_address is None:
        sys.stderr.write('store_address is missing\n')
        return ExitCode.BAD_USAGE
    apply_s = read_apply_limit_s(os.environ)
    read_zone_bounds(os.environ, settings.bounds)
    store = PlatformStore(settings.store_address, apply_s)
    match role:
        case 'balancer':
            from ..daemon.steering_balancer import BalancerDaemon

            _end_imports(steps)
            wire = PlatformWire()
            return BalancerDaemon(settings, wire, store, steps).run()
        case 'agent':
            from ..daemon.steering_agent import AgentDaemon

            _end_imports(steps)
            wire = PlatformWire()
            return AgentDaemon(settings, wire, store, steps).run()
    sys.stderr.write('usage: python -m greengagepath.platform balancer|agent\n')
    return ExitCode.BAD_USAGE


def _configure_gevent() -> None:
    """Let errors of greenlets be described without `pprint`.

    The event loop loads it at its start; it is not in the bundle, and
    takes 7 ms of processor time.
    """
    gevent.config.format_context = 'reprlib.repr'


def _end_imports(steps: StartSteps) -> None:
    """Turn garbage collection on, but leave out what is loaded by now.

    Those objects live as long as the process.
    """
    gc.freeze()
    gc.enable()
    steps.record('imports')


if __name__ == '__main__':
    raise SystemExit(int(main()))
