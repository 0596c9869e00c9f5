"""Serve the stand-ins of both deployments in one process; print their addresses."""

import contextlib

import anyio
import msgspec

from standins.instances import InstancesStandin
from standins.metadata_store import MetadataStoreStandin
from standins.objects import ObjectsStandin
from standins.plain import PlainStandin
from standins.platform_endpoint import (
    PlatformEndpointOptions,
    PlatformEndpointStandin,
)
from standins.scorer import ScorerStandin
from standins.server import serving
from standins.table import TableStandin
from standins.weights import WeightsStandin
from tools.demo_api import call

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "lookup",
            "hostname": "127.0.0.1",
            "prefix": "/lookup/",
            "route_type": "safe",
            "timeout_ms": 60_000,
            "backend": "app",
        }
    ],
    "services": [{"name": "app", "health_path": "/health", "max_conns": 96}],
}
SERVICES = {
    "table": TableStandin,
    "objects": ObjectsStandin,
    "instances": InstancesStandin,
    "weights": WeightsStandin,
    "scorer": ScorerStandin,
    "store": MetadataStoreStandin,
}


async def main():
    async with contextlib.AsyncExitStack() as stack:
        standins = {name: kind() for name, kind in SERVICES.items()}
        standins["plain"] = PlainStandin()
        server = PlatformEndpointStandin(PlatformEndpointOptions("s1", "app"))
        standins["server"] = server
        addresses = {
            name: await stack.enter_async_context(serving(each))
            for name, each in standins.items()
        }
        plain = addresses["plain"]
        record = {
            "service": "booking-app",
            "kind": "plain",
            "data_centre": "dc-a",
            "host": plain.host,
            "port": plain.port,
        }
        await call(addresses["instances"], "PUT", "/instances/plain", record)
        standins["store"].write("op", "config", CONFIG)
        server.register(standins["store"], addresses["server"])
        text = {name: str(address) for name, address in addresses.items()}
        print(msgspec.json.encode(text).decode(), flush=True)
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(main)
