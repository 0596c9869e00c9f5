"""Tests of the decoding and encoding of the platform's formats."""

import base64
import copy
import tracemalloc

import msgspec
import pytest

from plantainstack.clock import FakeClock
from plantainstack.platform import records
from plantainstack.serving import ItemResult, ItemState, RequestKind, RewardCall
from tests.platform.samples import CONFIG, ENTRY, lot


def test_config_is_decoded_into_the_projects_types():
    cfg = records.decode_config(msgspec.json.encode(CONFIG)).unwrap()
    batch, safe = cfg.routes
    assert (batch.kind, batch.queue_limit_s, batch.result_target_s) == (
        RequestKind.BATCH,
        40.0,
        7.5,
    )
    assert (safe.host, safe.objective_s, safe.endpoints_max) == (
        "desk.example",
        0.24,
        2,
    )
    assert [share.weight for share in safe.weighted_services] == [90, 10]
    assert cfg.services["models"].models == ("m0",)
    assert cfg.limits.body_bytes == 1000


@pytest.mark.parametrize(
    "changes",
    [{"version": "7"}, {"routes": None}, {"services": [{"health_path": "/"}]}],
)
def test_invalid_config_is_rejected_as_a_whole(changes):
    """Guards against a configuration of which only a part takes effect."""
    assert records.decode_config(msgspec.json.encode(CONFIG | changes)).is_err()


def test_unknown_route_type_is_rejected():
    """Guards against retries of requests that the route does not declare safe."""
    broken = copy.deepcopy(CONFIG)
    broken["routes"][0]["route_type"] = "sometimes"
    assert records.decode_config(msgspec.json.encode(broken)).is_err()


def test_registration_is_decoded():
    found = records.decode_endpoint(
        "i-1", msgspec.json.encode(ENTRY), FakeClock()
    ).unwrap()
    assert found.service == "models"
    assert found.versions == {"m0": 4}
    assert found.software == ENTRY["version"]
    assert found.incarnation() == ("i-1", 1783993482000)
    assert not found.leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"backend": 5},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"state": "asleep"},
        {"slots": 0},
        {"seq": "four"},
        {"born": 17.5},
        {"models": "m0"},
    ],
)
def test_invalid_registrations_are_rejected(changes):
    """Guards against requests to an address that no endpoint has registered."""
    data = msgspec.json.encode(ENTRY | changes)
    assert records.decode_endpoint("i-1", data, FakeClock()).is_err()


def test_registrations_with_missing_fields_are_rejected():
    """Guards against default values for fields that an endpoint must report."""
    for field in ("backend", "address", "zone", "slots", "state", "seq"):
        entry = {name: value for name, value in ENTRY.items() if name != field}
        data = msgspec.json.encode(entry)
        assert records.decode_endpoint("i-1", data, FakeClock()).is_err(), field


def test_batch_submission_is_decoded():
    data = msgspec.json.encode(lot(items=4))
    batch = records.decode_batch("b1", "train.example", "/train/x", data).unwrap()
    assert [item.group for item in batch.items] == ["g0", "g0", "g1", "g1"]
    assert batch.items[0].body == b"\xab\xcd"
    assert batch.items[3].length_hint == 103
    assert (batch.min_version, batch.groups_wanted) == (3, 1)


SCORER = {"id": "r1", "hostname": "a.example", "path": "/r/1?x=2", "body": "q80="}


def test_reward_call_of_an_item_is_decoded():
    """Guards against a reward call that differs from the trainer's in any field."""
    item = lot(1)["requests"][0] | {"scorer": SCORER}
    data = msgspec.json.encode(lot(1) | {"requests": [item]})
    batch = records.decode_batch("b1", "train.example", "/train/x", data).unwrap()
    assert batch.items[0].reward_call == RewardCall(
        "r1", "a.example", "/r/1?x=2", b"\xab\xcd"
    )


@pytest.mark.parametrize(
    "change",
    [
        {"id": ""},
        {"path": "r"},
        {"path": "/r\r\nx: y"},
        {"hostname": "a b"},
        {"body": "*"},
    ],
)
def test_invalid_reward_call_makes_the_batch_invalid(change):
    """Guards against items that are accepted but can never be scored."""
    item = lot(1)["requests"][0] | {"scorer": SCORER | change}
    data = msgspec.json.encode(lot(1) | {"requests": [item]})
    assert records.decode_batch("b1", "h", "/train/", data).is_err()


@pytest.mark.parametrize(
    "change",
    [
        {"requests": []},
        {"requests": lot(1)["requests"] * 2},
        {"requests": [lot(1)["requests"][0] | {"body": "*"}]},
        {"requests": [lot(1)["requests"][0] | {"path": "train"}]},
        {"requests": [lot(1)["requests"][0] | {"headers": {"a": "b\r\nc: d"}}]},
        {"requests": [{"id": "x"}]},
        {"min_version": "old"},
    ],
)
def test_invalid_submissions_are_rejected_as_a_whole(change):
    """Guards against a batch of which only some items can run."""
    data = msgspec.json.encode(lot(1) | change)
    assert records.decode_batch("b1", "h", "/train/", data).is_err()


def test_score_is_encoded_if_the_result_has_one():
    """Guards against a score field in results of items without a reward call."""
    found = ItemResult("i", ItemState.COMPLETED, "a", (6,))
    assert "score" not in records.encode_result(found)
    assert records.encode_result(found._replace(score="s"))["score"] == "s"


def test_result_is_encoded_with_the_platforms_fields():
    found = ItemResult("i", ItemState.ABANDONED, "a\nb", (6, 7))
    assert records.encode_result(found) == {
        "id": "i",
        "state": "abandoned",
        "output": "a\nb",
        "versions": [6, 7],
    }


def test_decoding_takes_no_more_memory_than_reserved():
    """Guards against bodies that are held as text beside their bytes."""
    content = lot(items=4)
    for each in content["requests"]:
        each["body"] = base64.b64encode(bytes(1_000_000)).decode()
    data = msgspec.json.encode(content)
    tracemalloc.start()
    batch = records.decode_batch("b1", "desk.example", "/a/", data).unwrap()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert len(batch.items[0].body) == 1_000_000
    assert peak <= records.decoding_bytes(data)


@pytest.mark.parametrize("body", ["YQ=", "YQ", "Y Q==", "YW-_", "YQ==YQ==", "\u00e9"])
def test_body_that_is_not_base64_is_rejected(body):
    """Guards against items that run with another body than the trainer sent."""
    content = lot(items=2)
    content["requests"][1]["body"] = body
    data = msgspec.json.encode(content)
    assert records.decode_batch("b1", "desk.example", "/a/", data).is_err()
