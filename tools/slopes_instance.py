"""Run an entry instance without the plug-ins that hold leases.

Leases move between instances with the membership, so with them an instance
without control does other work than one with control, and the difference of the
two would not be the cost of control.
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
    """Run until a signal ends the process."""
    settings = load_instance(settings_file)
    log.configure(settings.log_path())
    plugins = load_builtin()
    kinds = [plugins[name] for name in plugins if name not in LEASE_PLUGINS]
    anyio.run(Kernel(settings, kinds).run)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
