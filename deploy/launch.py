"""Starts a role on a VM: `python3 -S deploy/launch.py balancer|agent`."""

import gc
import os
import sys

# Loaded modules are never freed; collecting garbage while they load takes
# a third of the start.
gc.disable()
# Extension modules bind a function when it is first called.
sys.setdlopenflags(os.RTLD_LAZY)
sys.path[0] = ''
# Libraries that are not in the bundle, or all of them without a bundle.
sys.path.append('target/deps')
from greengagepath.startup.module_bundle import install_bundle  # noqa: E402

install_bundle('target/modules.bundle')

from greengagepath.foundation.start_steps import StartSteps  # noqa: E402

steps = StartSteps()
steps.record('interpreter')

from greengagepath.platform.__main__ import main  # noqa: E402

raise SystemExit(int(main(steps)))
