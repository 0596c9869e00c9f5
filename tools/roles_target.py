"""Extrapolate the measured costs to the target size of the fleet.

The sizes are those of section 1.7 of the design. docs/CAPACITY.md refers to the
figures by name, and a test compares it with the committed measurements.
"""

from typing import Any

INSTANCES = 340
DATA_CENTRES = 4
REQUESTS_PER_S = 14_000
TOKENS_PER_S = 3.9e6
ENGINES = 1_100
SWAP_LIMIT_S = 16.0
SWAP_PERIOD_S = 360.0
SAMPLES_PER_S = 11 * 4_096 / (24 * 60.0)
CHANGES_PER_S = 4_000 / 86_400
HEAD_POLL_S = 2.0
SHARD_SCANS_PER_S = 48.0
HEAD_READS_PER_S = 11.0
# From docs/decisions/steps.md. The measured slope of reads is not significantly
# different from zero, since the scans of an idle instance vary by more than the reads
# of a sample.
STEP_READS_PER_S = 6.0
# Higher utilisation of a core adds too much delay to each request.
CORE_SHARE = 0.7
CHUNK_SIZES = (1, 4, 16, 64)


def figures(content: dict[str, Any]) -> dict[str, float]:
    """Return the measured figures and those extrapolated to the target, by name."""
    found = dict(content["values"])
    for name, fit in content["fits"].items():
        found[name] = fit["slope"]
        found[f"{name}.error"] = fit["slope_error"]
        if "intercept" in fit:
            found[f"{name}.intercept"] = fit["intercept"]
    return {**found, **_relay_figures(found), **_fleet_figures(found)}


def control_figures(content: dict[str, Any]) -> dict[str, float]:
    """Return the control cost of an instance from the results of tools.slopes.

    CPU is in percent of a core, memory in MB, and traffic in bytes per second.
    """
    units = {"cpu": 100.0, "memory": 1e-6, "bytes": 1.0}
    found = {}
    for name, fit in content["fits"].items():
        resource, _, state = name.partition(" ")
        state = state.strip("()").replace(", from 8 instances", ".from8")
        key = f"control.{resource}.{state}"
        found[key] = fit["at_target"] * units[resource]
        found[f"{key}.error"] = fit["at_target_error"] * units[resource]
        found[f"{key}.slope"] = fit["slope"] * units[resource]
    return found


def _relay_figures(found: dict[str, float]) -> dict[str, float]:
    """Return the demands of relaying requests and streams; costs are in ms."""
    request, chunk, token = (
        found[f"stream.{name}_cpu"] for name in ("request", "chunk", "token")
    )
    requests, tokens = REQUESTS_PER_S / INSTANCES, TOKENS_PER_S / INSTANCES
    length = TOKENS_PER_S / REQUESTS_PER_S
    free_ms = CORE_SHARE * 1e3 - requests * request - tokens * token
    remaining = (DATA_CENTRES - 1) / DATA_CENTRES
    remaining_free_ms = (
        CORE_SHARE * 1e3 - requests / remaining * request - tokens / remaining * token
    )
    needed = {
        "target.requests_per_instance": requests,
        "target.tokens_per_instance": tokens,
        "target.tokens_per_request": length,
        "target.request_ms_per_s": requests * request,
        "target.token_ms_per_s": tokens * token,
        "target.chunks_per_core": 1e3 / chunk,
        "target.tokens_per_chunk": tokens * chunk / free_ms,
        "target.tokens_per_chunk_without_centre": tokens
        / remaining
        * chunk
        / remaining_free_ms,
        "target.open_streams": requests * length / 50.0,
        "target.stream_mib": requests * length / 50.0 * found["stream.memory"] / 1024,
        "target.lookup_share": requests * found["lookup.cpu"] / 1e3,
    }
    for size in CHUNK_SIZES:
        per_token = chunk / size + token + request / length
        needed[f"target.tokens_per_core_at_{size}"] = 1e3 / per_token
        needed[f"target.cores_at_{size}"] = tokens * per_token / 1e3
    return needed


def _fleet_figures(found: dict[str, float]) -> dict[str, float]:
    """Return the demands of steps, weights and configuration in the whole fleet."""
    step_writes = SAMPLES_PER_S * found["step.rows_written"]
    step_commits = SAMPLES_PER_S * found["step.commits"]
    head_polls = INSTANCES / HEAD_POLL_S
    return {
        "target.samples_per_s": SAMPLES_PER_S,
        "target.step_rows_written": step_writes,
        "target.step_commits": step_commits,
        "target.step_objects": SAMPLES_PER_S * found["step.puts"],
        "target.step_cores": SAMPLES_PER_S * found["step.cpu"] / 1e3,
        "target.changes_per_s": CHANGES_PER_S,
        "target.head_polls": head_polls,
        "target.rows_written": step_writes + CHANGES_PER_S * 3,
        "target.reads": STEP_READS_PER_S
        + head_polls
        + SHARD_SCANS_PER_S
        + HEAD_READS_PER_S,
        "target.orders_per_s": ENGINES / SWAP_LIMIT_S,
        "target.swap_messages": ENGINES * found["swap.messages"],
        "target.swap_messages_per_s": ENGINES * found["swap.messages"] / SWAP_LIMIT_S,
        "target.swap_core_share": ENGINES * found["swap.cpu"] / 1e3 / SWAP_LIMIT_S,
    }
