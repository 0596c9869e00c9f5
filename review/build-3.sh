#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are review/lib3 and, for case 15,
# review/lib4, in Python's standard library alone, so there is nothing to compile or to
# install: only check that this Python can load them.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import sys
assert sys.version_info >= (3, 11), 'Python 3.11 is needed'
import lib3.callers, lib3.fleet, lib3.http11, lib3.servers, lib3.trainers
import lib4.daemons, lib4.http1, lib4.links, lib4.requests, lib4.store
"
