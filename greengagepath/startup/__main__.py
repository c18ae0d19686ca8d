"""Builds the module bundle: `python -m greengagepath.startup DIR`.

The bundle serves both roles, balancer and agent.
"""

import importlib
import sys

from .bundle_writer import write_bundle
from .precompiler import SourceRecorder

MODULES = (
    'encodings.idna',
    'greengagepath.platform.__main__',
    'greengagepath.daemon.steering_agent',
    'greengagepath.daemon.steering_balancer',
)


def main() -> int:
    """Import the modules of both roles and write them to one file."""
    recorder = SourceRecorder()
    recorder.install()
    for module in MODULES:
        importlib.import_module(module)
    written = write_bundle(
        f'{sys.argv[1]}/modules.bundle',
        list(filter(_is_loaded, sys.modules)),
        recorder.code_by_source,
    )
    sys.stdout.write(f'{written} modules bundled\n')
    return 0


def _is_loaded(name: str) -> bool:
    """Return whether the module belongs to a role, not to this tool."""
    return name != '__main__' and not name.startswith('greengagepath.startup')


if __name__ == '__main__':
    raise SystemExit(main())
