"""Run plantainstackd with a limit on file descriptors: FDS [ARGUMENT...]."""

import resource
import sys

from plantainstack.daemon import main

if __name__ == "__main__":
    limit = int(sys.argv.pop(1))
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    main()
