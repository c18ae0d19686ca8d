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
    for module in MODULES:
        importlib.import_module(module)
    written = write_bundle(
        f'{sys.argv[1]}/modules.bundle', list(filter(_is_loaded, sys.modules))
    )
    sys.stdout.write(f'{written} modules bundled\n')
    return 0


def _is_loaded(name: str) -> bool:
    """Return whether a role loads the module, which this tool may not."""
    return name != '__main__' and not name.startswith('greengagepath.startup')


if __name__ == '__main__':
    raise SystemExit(main())
