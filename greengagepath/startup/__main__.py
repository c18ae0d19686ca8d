"""Builds the bundles of both roles: `python -m greengagepath.startup DIR`."""

import importlib
import sys

from .module_bundle import write_bundle

MODULES = (
    'encodings.idna',
    'greengagepath.platform.__main__',
    'greengagepath.daemon.steering_agent',
    'greengagepath.daemon.steering_balancer',
)


def main() -> int:
    """Load what the roles load and write it to one file."""
    for name in MODULES:
        importlib.import_module(name)
    own = {'__main__', *(name for name in sys.modules if _is_own(name))}
    names = [name for name in sys.modules if name not in own]
    written = write_bundle(f'{sys.argv[1]}/modules.bundle', names)
    sys.stdout.write(f'{written} modules bundled\n')
    return 0


def _is_own(name: str) -> bool:
    return name.startswith('greengagepath.startup')


if __name__ == '__main__':
    raise SystemExit(main())
