"""Stand-ins of a trainer's calls: batch submissions, reads, ends."""

import base64
import json
import os
import uuid

from lib3.http11 import call

HOST = "ficu95.example"
PREFIX = "/pufi791/"


def batch(model: str, groups: int, size: int, body_bytes: int, step: int = 0) -> dict:
    """Return a submission whose items have random bodies."""
    requests = []
    for _ in range(groups):
        group = f"g{uuid.uuid4().hex[:8]}"
        prefix = uuid.uuid4().hex[:12]
        for _ in range(size):
            id = uuid.uuid4().hex[:16]
            own = uuid.uuid4().hex[:12]
            headers = {
                "Plantainstack-Model": model,
                "Plantainstack-Token-Count": "316,400",
                "Plantainstack-Prompt-Prefix": f"{prefix}:300,{own}:16",
                "Plantainstack-Length-Hint": "24",
            }
            body = base64.b64encode(os.urandom(body_bytes)).decode()
            path = f"{PREFIX}{step}/{id[:4]}"
            requests.append(
                {
                    "id": id,
                    "path": path,
                    "headers": headers,
                    "body": body,
                    "tokens": 716,
                    "group": group,
                }
            )
    return {
        "step": step,
        "model": model,
        "min_version": 1,
        "group_count": groups,
        "requests": requests,
    }


async def submit(address, id, content, limit_s=10.0, prefix=PREFIX):
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    headers = [
        ("Host", HOST),
        ("Plantainstack-Request-Id", id),
        ("Content-Type", "application/json"),
    ]
    return await call(address, "POST", f"{prefix}{id[:6]}", body, headers, limit_s)


async def read(address: str, id: str, after: int = 0, limit_s: float = 2.5):
    headers = [("Host", HOST), ("Plantainstack-Wait-Ms", "1000")]
    return await call(
        address, "GET", f"/api/lots/{id}?after={after}", b"", headers, limit_s
    )


async def item_body(address: str, id: str, item: str, limit_s: float = 5.0):
    headers = [("Host", HOST)]
    return await call(
        address, "GET", f"/api/items/{id}?id={item}", b"", headers, limit_s
    )


async def end(address: str, id: str, limit_s: float = 6.0):
    return await call(
        address, "DELETE", f"/api/lots/{id}", b"", [("Host", HOST)], limit_s
    )


def rollout_route(backend: str, **more) -> dict:
    return {
        "name": "r-rollout",
        "hostname": HOST,
        "prefix": PREFIX,
        "route_type": "rollout",
        "timeout_ms": 10000,
        "slo_ms": 400,
        "priority": 0,
        "backend": backend,
        "max_attempts": 3,
        "max_queue_s": 40.0,
        "result_target_ms": 7500,
        "single_version": False,
        "sticky": True,
        "resumable": True,
    } | more
