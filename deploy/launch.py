"""Starts a role on a VM: `python3 -S deploy/launch.py balancer|agent`."""

import gc
import sys

# Loaded modules are never freed; collecting garbage while they load takes
# a third of the start.
gc.disable()
sys.path[0] = ''
from greengagepath.startup.module_bundle import install_bundle  # noqa: E402

install_bundle('target/modules.bundle')

from greengagepath.platform.__main__ import main  # noqa: E402

raise SystemExit(int(main()))
