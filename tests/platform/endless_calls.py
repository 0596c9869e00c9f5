"""Process that calls faulty servers, and prints its resident memory.

Arguments: the port, `call` or `stream`, the number of calls and of endpoints.
"""

import re
import sys
from pathlib import Path

import anyio

from plantainstack.clock import SystemClock
from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.process_memory import return_large_blocks
from plantainstack.settings.options import Address
from tests.platform.test_servers import call
from tests.policy.serving_samples import endpoint

DEADLINE_S = 8.0


def resident_mb(field):
    """Return VmRSS (now) or VmHWM (peak), in MB."""
    status = Path("/proc/self/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", status)[1]) / 1000


async def main(port, kind, calls, endpoints):
    client = PlatformEndpointClient(SystemClock())
    base = resident_mb("VmRSS")

    async def one(number):
        address = Address("127.0.0.1", port)
        target = endpoint(f"i-{number % endpoints}", address=address)
        req = call(deadline=SystemClock().now() + DEADLINE_S)
        if kind == "call":
            failures.append((await client.call(target, req)).unwrap_err().kind.value)
            return
        async with client.stream(target, req) as opened:
            outcomes = [each async for each in opened.unwrap().events()]
            failures.append(outcomes[-1].unwrap_err().kind.value)

    failures = []
    async with anyio.create_task_group() as tasks:
        for number in range(calls):
            tasks.start_soon(one, number)
    kinds = ",".join(sorted(set(failures)))
    print(round(base), round(resident_mb("VmHWM")), len(failures), kinds)


if __name__ == "__main__":
    # As the daemon does at its start.
    return_large_blocks()
    port, kind, calls, endpoints = sys.argv[1:]
    anyio.run(main, int(port), kind, int(calls), int(endpoints))
