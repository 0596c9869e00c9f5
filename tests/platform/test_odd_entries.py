"""Tests with entries of other writers that cannot be read or used.

Such an entry costs itself only: all others stay in force, and nothing ends.
"""

import contextlib

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plantainstack.clock import FakeClock, SystemClock
from plantainstack.links.events import SseDecoder
from plantainstack.platform import records
from plantainstack.platform.servers import _parse_version, _stream_event
from plantainstack.platform.store import PlatformStore
from standins.metadata_store import MetadataStoreStandin
from standins.server import serving
from tests.platform.samples import CONFIG, ENTRY, lot
from tests.services.store_fleet import FakePlatform, new_kernel, until

DEPTH = 100_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
DECODERS = {
    "config": records.decode_config,
    "endpoint": lambda data: records.decode_endpoint("i-1", data, FakeClock()),
    "report": records.decode_report,
    "version": records.decode_named_version,
    "batch": lambda data: records.decode_batch("b1", "a.example", "/train/x", data),
}
SAMPLES = {
    "config": CONFIG,
    "endpoint": ENTRY,
    "report": {"models": ENTRY["models"], "busy": False, "seq": 3},
    "version": {"model": "m0", "version": 5},
    "batch": lot(2),
}


def with_nested_field(sample):
    return msgspec.json.encode(sample)[:-1] + b', "more": ' + NESTED + b"}"


def decode_entry(key="i-1", **changes):
    return records.decode_endpoint(
        key, msgspec.json.encode(ENTRY | changes), FakeClock()
    )


@pytest.mark.parametrize("name", DECODERS)
def test_samples_are_valid(name):
    assert DECODERS[name](msgspec.json.encode(SAMPLES[name])).is_ok()


@pytest.mark.parametrize("name", DECODERS)
@pytest.mark.parametrize("data", [NESTED, b"", b"\xff", b"null", b"[]"])
def test_other_bytes_are_not_valid(name, data):
    """Guards against a process that ends because of one row or body."""
    assert DECODERS[name](data).is_err()


@pytest.mark.parametrize("name", DECODERS)
def test_deeply_nested_field_is_not_valid(name):
    """Guards against a process that ends because of one row or body."""
    assert DECODERS[name](with_nested_field(SAMPLES[name])).is_err()


@pytest.mark.parametrize(
    "changes",
    [
        {"address": f"10.0.0.1:{'9' * 5000}"},
        {"address": "10.0.0.1:²"},
        {"address": "10.0.0.1:٣"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0\0.1:80"},
        {"address": f"{'a' * 100_000}:80"},
        {"address": "a..b:80"},
        {"address": "..:80"},
        {"address": "a b:80"},
        {"address": "grün:80"},
        {"slots": 10**30},
        {"slots": -1},
        {"born": -1},
        {"born": 10**30},
        {"cold_ms": 1e300},
        {"cold_ms": -1},
        {"seq": -1},
        {"backend": ""},
        {"backend": "x" * 100_000},
        {"zone": "x" * 100_000},
        {"version": "x" * 100_000},
        {"models": [{"name": "m0", "version": 10**30}]},
        {"models": [{"name": "m0", "version": -1}]},
        {"models": [None]},
    ],
)
def test_registration_that_names_no_usable_endpoint_is_not_valid(changes):
    """Guards against requests that are sent where no endpoint can be."""
    assert decode_entry(**changes).is_err()


def test_number_of_thousands_of_digits_is_not_valid():
    digits = b'"cold_ms":' + b"9" * 5000
    text = msgspec.json.encode(ENTRY).replace(b'"cold_ms":0', digits)
    assert records.decode_endpoint("i-1", text, FakeClock()).is_err()


@pytest.mark.parametrize("key", ["", "a b", "a\r\nb", "é", "\0"])
def test_registration_with_an_id_that_no_header_can_hold_is_not_valid(key):
    """Guards against an id with which each request to the endpoint fails."""
    assert decode_entry(key).is_err()


@pytest.mark.parametrize(
    "address", ["10.0.0.1:80", "db-1.example:8080", "::1:8080", "a_b:1"]
)
def test_usual_addresses_are_valid(address):
    """Guards against bounds that endpoints in use do not meet."""
    found = decode_entry(address=address).unwrap()
    assert f"{found.address.host}:{found.address.port}" == address


@pytest.mark.parametrize(
    "changes",
    [
        {"timeout_ms": 1e300},
        {"timeout_ms": -1},
        {"max_attempts": 10**30},
        {"backend": None},
        {"backend": None, "split": [{"backend": "models", "weight": 0}]},
        {"split": [{"backend": "models", "weight": -1}]},
    ],
)
def test_config_with_a_route_that_cannot_be_served_is_not_valid(changes):
    """Guards against requests that end in an exception for lack of a service."""
    odd = CONFIG | {"routes": [CONFIG["routes"][0] | changes]}
    assert records.decode_config(msgspec.json.encode(odd)).is_err()


@pytest.mark.parametrize("version", [-1, 10**30, 1.5, "7"])
def test_named_version_out_of_bounds_is_not_valid(version):
    data = msgspec.json.encode({"model": "m0", "version": version})
    assert records.decode_named_version(data).is_err()


def item_of(**changes):
    return lot(1) | {"requests": [lot(1)["requests"][0] | changes]}


@pytest.mark.parametrize(
    "content",
    [
        lot(1, group_count=10**30),
        lot(1, min_version=10**30),
        lot(1, min_version=-1),
        lot(1, step=10**30),
        item_of(id="é"),
        item_of(id="a b"),
        item_of(id=""),
        item_of(path="/train/€"),
        item_of(path="/train/a b"),
        item_of(headers={"X-Note": "€"}),
        item_of(headers={"X-Note": "a\0b"}),
        item_of(headers={"X Note": "a"}),
        item_of(headers={"": "a"}),
        item_of(body="é"),
    ],
)
def test_batch_whose_items_cannot_be_sent_is_not_valid(content):
    """Guards against an accepted batch that ends each instance that runs it."""
    assert DECODERS["batch"](msgspec.json.encode(content)).is_err()


@pytest.mark.parametrize("hint", ["²", "9" * 5000, "many", "-1", ""])
def test_unreadable_length_hint_counts_as_none(hint):
    """Guards against a batch that is refused because of an estimate."""
    content = item_of(headers={"Plantainstack-Length-Hint": hint})
    batch = DECODERS["batch"](msgspec.json.encode(content)).unwrap()
    assert batch.items[0].length_hint == 0


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, -(10**30), 2**63, 2**64])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


@st.composite
def odd_samples(draw):
    """Return the name of a decoder and a valid body in which one value is replaced."""
    name = draw(st.sampled_from(sorted(SAMPLES)))
    found = msgspec.json.decode(msgspec.json.encode(SAMPLES[name]))
    part = found
    while True:
        keys = list(part) if isinstance(part, dict) else list(range(len(part)))
        key = draw(st.sampled_from(keys))
        inner = part[key]
        if not isinstance(inner, dict | list) or not inner or draw(st.booleans()):
            part[key] = draw(VALUES)
            return name, found
        part = inner


@given(odd_samples())
def test_no_value_makes_a_decoder_raise(odd):
    """Guards against exceptions of a decoder, and values that cannot be stored."""
    name, content = odd
    try:
        data = msgspec.json.encode(content)
    except (OverflowError, UnicodeEncodeError):
        return
    found = DECODERS[name](data)
    if name == "batch" and found.is_ok():
        msgspec.msgpack.encode(found.unwrap())
    if name == "endpoint" and found.is_ok():
        assert 0 < found.unwrap().address.port <= 65535
        msgspec.msgpack.encode(found.unwrap())


@given(st.sampled_from(sorted(DECODERS)), st.binary(max_size=200))
def test_no_bytes_make_a_decoder_raise(name, data):
    assert DECODERS[name](data).is_err()


@pytest.mark.parametrize("text", ["²", "9" * 5000, "٣", "-1", "1.5", ""])
def test_unreadable_numbers_of_an_answer_count_as_missing(text):
    """Guards against a stream that ends with an exception because of a number."""
    assert _parse_version(text) is None
    [event] = SseDecoder().feed(f"id: {text}\ndata: x\n\n".encode())
    assert _stream_event(event).id is None


@contextlib.asynccontextmanager
async def following(standin):
    """Run an instance that follows the rows of a store."""
    async with serving(standin) as address:
        store = PlatformStore(address, SystemClock())
        async with anyio.create_task_group() as tasks:
            kernel = new_kernel(FakePlatform(), "a")
            kernel.plugin("store").registry = store
            tasks.start_soon(kernel.run, False)
            yield kernel
            tasks.cancel_scope.cancel()
        await store.aclose()


ODD_ENTRIES = [
    with_nested_field(ENTRY),
    msgspec.json.encode(ENTRY | {"address": "10.0.0.1:²"}),
    msgspec.json.encode(ENTRY | {"address": f"10.0.0.1:{'9' * 5000}"}),
    msgspec.json.encode(ENTRY | {"slots": 10**30}),
    b"\xff\x00",
]


@pytest.mark.anyio
@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_instance_follows_the_list_after_an_odd_entry(odd):
    """Guards against an instance that ends, or stops to follow the endpoints."""
    standin = MetadataStoreStandin()
    standin.write("op", "config", CONFIG)
    standin.write("servers", "i-1", ENTRY)
    async with following(standin) as kernel:
        known = kernel.plugin("discovery").view.known
        await until(lambda: set(known) == {"i-1"})
        standin.write("servers", "i-2", odd)
        standin.write("servers", "i-3", ENTRY)
        await until(lambda: set(known) == {"i-1", "i-3"})
        standin.write("servers", "i-2", ENTRY)
        await until(lambda: set(known) == {"i-1", "i-2", "i-3"})
        standin.write("servers", "i-1", odd)
        await until(lambda: set(known) == {"i-2", "i-3"})
        assert kernel.unready_reason() is None


@pytest.mark.anyio
@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_instance_starts_beside_an_odd_entry(odd):
    """Guards against instances that cannot start while an odd entry exists."""
    standin = MetadataStoreStandin()
    standin.write("op", "config", CONFIG)
    standin.write("servers", "i-0", odd)
    standin.write("servers", "i-1", ENTRY)
    async with following(standin) as kernel:
        await until(lambda: kernel.unready_reason() is None)
        assert set(kernel.plugin("discovery").view.known) == {"i-1"}


@pytest.mark.anyio
async def test_last_valid_config_stays_in_force_after_an_odd_one():
    """Guards against instances without routes after one odd configuration."""
    standin = MetadataStoreStandin()
    standin.write("op", "config", CONFIG)
    async with following(standin) as kernel:
        discovery = kernel.plugin("discovery")
        await until(lambda: kernel.unready_reason() is None)
        standin.write("op", "config", with_nested_field(CONFIG | {"version": 8}))
        standin.write("op", "version/m0", {"model": "m0", "version": 5})
        await until(lambda: "m0" in discovery.versions)
        assert discovery.serving.version == 7
        standin.write("op", "config", CONFIG | {"version": 9})
        await until(lambda: discovery.serving.version == 9)
