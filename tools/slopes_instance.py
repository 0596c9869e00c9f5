"""Run an entry instance without the plug-ins that hold leases.

The distribution of leases depends on the membership. With these plug-ins, an instance
without a control plane would do different work from one with it, and the difference
of their costs would not be the cost of the control plane.
"""

import sys
from pathlib import Path

import anyio

from plantainstack import log
from plantainstack.kernel import Kernel
from plantainstack.plugins import load_builtin
from plantainstack.settings.instance import load_instance

LEASE_PLUGINS = ("steps", "weights")


def main(settings_file: Path) -> None:
    """Run the instance until it receives a signal."""
    settings = load_instance(settings_file)
    log.configure(settings.log_path())
    plugins = load_builtin()
    kinds = [plugins[name] for name in plugins if name not in LEASE_PLUGINS]
    anyio.run(Kernel(settings, kinds).run)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
