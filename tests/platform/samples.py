"""Sample messages in the platform's formats, shared by several tests."""

import base64

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-batch",
            "hostname": "train.example",
            "prefix": "/train/",
            "route_type": "rollout",
            "timeout_ms": 10000,
            "slo_ms": 400,
            "priority": 0,
            "backend": "models",
            "max_attempts": 3,
            "max_queue_s": 40.0,
            "result_target_ms": 7500,
            "single_version": False,
            "resumable": True,
        },
        {
            "name": "r-safe",
            "hostname": "Desk.example",
            "prefix": "/lookup/",
            "route_type": "safe",
            "timeout_ms": 1500,
            "slo_ms": 240,
            "priority": 2,
            "split": [
                {"backend": "app", "weight": 90},
                {"backend": "models", "weight": 10},
            ],
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "models",
            "health_path": "/health",
            "max_conns": 160,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 16, "models": [{"name": "m0"}]},
        },
        {"name": "app", "health_path": "/health", "max_conns": 96},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}

ENTRY = {
    "backend": "models",
    "address": "10.128.0.9:8080",
    "zone": "bergen-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_ms": 0,
    "phase": "both",
    "models": [{"name": "m0", "version": 4, "adapters": []}],
    "seq": 4,
    "born": 1783993482000,
}


def lot(items=2, min_version=3, **more):
    """Return a batch submission of `items` items, two to a group."""
    body = base64.b64encode(b"\xab\xcd").decode()
    return {
        "step": 7,
        "model": "m0",
        "min_version": min_version,
        "group_count": 1,
        "requests": [
            {
                "id": f"item-{number}",
                "path": f"/train/{number}",
                "headers": {"Plantainstack-Length-Hint": str(100 + number)},
                "body": body,
                "tokens": 940,
                "group": f"g{number // 2}",
            }
            for number in range(items)
        ],
        **more,
    }
