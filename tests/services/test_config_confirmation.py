"""Tests of the last moment at which an instance knew the configuration in force."""

import asyncio
import contextlib
import copy

import anyio
import msgspec
import pytest

from plantainstack.platform.store import PlatformStore
from plantainstack.policy import tenant_admission
from plantainstack.policy.tenant_admission import RefusalReason
from plantainstack.settings.options import Address
from tests.platform.samples import CONFIG
from tests.services.store_fleet import FakePlatform, new_kernel, until
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

REVOCATION_S = 5.0
# Time in which every read of a working store is answered and applied.
SETTLED_S = 2.0


class StoreRegistry(PlatformStore):
    """Read registrations and the configuration from a store in memory."""

    def __init__(self, store):
        super().__init__(Address("127.0.0.1", 1), store.clock)
        self.read = store.read
        self.rows_changed = store.rows_changed


class Instance:
    """An instance that reads its configuration as the operator wrote it."""

    def __init__(self, platform, strict):
        self.platform = platform
        self.kernel = new_kernel(platform, "a")
        self.kernel.settings.tenants.strict_revocation = strict
        plugin = self.kernel.plugin("store")
        self.store = plugin.metadata_store
        plugin.registry = self.registry = StoreRegistry(self.store)
        self.discovery = self.kernel.plugin("discovery")

    def write(self, version, *keys):
        tenants = [{"name": f"of-{key}", "api_keys": [key]} for key in keys]
        row = copy.deepcopy(CONFIG) | {"version": version, "tenants": tenants}
        self.write_row(msgspec.json.encode(row))

    def write_row(self, value):
        self.platform.rows.transact({}, {("op", "", "config"): value})

    def decide(self, key):
        """Return the tenant's name, or the reason of the refusal."""
        found = tenant_admission.admit(
            self.discovery.serving,
            None,
            [f"Bearer {key}"],
            self.discovery.config_age_s(),
            self.kernel.settings.tenants,
        )
        return found.unwrap().name if found.is_ok() else found.unwrap_err().reason


@contextlib.asynccontextmanager
async def instance(strict=True):
    found = Instance(FakePlatform(LoopClock()), strict)
    found.write(1, "old", "kept")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(found.kernel.run, False)
        await until(lambda: found.kernel.unready_reason() is None)
        await anyio.sleep(SETTLED_S)
        assert found.decide("old") == "of-old"
        assert found.decide("none") is RefusalReason.UNKNOWN_KEY
        yield found
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("fault", [None, "silent", "lagging", "unanswered"])
async def test_removed_key_is_refused_in_time_whatever_the_feed_does(fault):
    """Guards against answers without a change that keep a removed key alive."""
    async with instance() as found:
        found.store.feed_fault = fault
        await anyio.sleep(1.0)
        found.write(2, "kept")
        for _ in range(30):
            await anyio.sleep(REVOCATION_S / 10)
            assert found.decide("kept") == "of-kept"
        assert found.decide("old") is RefusalReason.UNKNOWN_KEY


@pytest.mark.parametrize("strict", [True, False])
async def test_cut_off_instance_admits_keys_as_long_as_the_rules_allow(strict):
    """Guards against a removed key at an instance that does not reach the store."""
    async with instance(strict) as found:
        found.store.unavailable = True
        # The poll that is in progress would still be answered with a change.
        await anyio.sleep(1.0)
        found.write(2, "kept", "new")
        await anyio.sleep(1.0)
        assert found.decide("old") == "of-old"
        assert found.decide("new") is RefusalReason.NOT_CONFIRMED
        await anyio.sleep(REVOCATION_S - 2.0)
        expected = RefusalReason.REVOCATION if strict else "of-old"
        assert found.decide("old") == expected
        found.store.unavailable = False
        await anyio.sleep(SETTLED_S)
        assert found.decide("old") is RefusalReason.UNKNOWN_KEY
        assert found.decide("new") == "of-new"


async def test_pause_counts_at_once():
    """Guards against a process that resumes with what it knew before its pause."""
    async with instance() as found:
        asyncio.get_running_loop().skip(REVOCATION_S)
        assert found.decide("old") is RefusalReason.REVOCATION
        assert found.kernel.unready_reason() is not None
        await anyio.sleep(SETTLED_S)
        assert found.decide("old") == "of-old"


async def test_answer_that_was_read_after_a_pause_counts_from_its_request():
    """Guards against an answer from before the pause that passes for a recent one."""
    async with instance() as found:
        read, paused = found.registry.read, anyio.Event()

        async def read_over_a_pause(*args):
            answer = await read(*args)
            if not paused.is_set():
                paused.set()
                asyncio.get_running_loop().skip(REVOCATION_S)
            return answer

        found.registry.read = read_over_a_pause
        await paused.wait()
        assert found.decide("old") is RefusalReason.REVOCATION
        await anyio.lowlevel.checkpoint()
        assert found.decide("old") is RefusalReason.REVOCATION


async def test_feed_counts_from_the_start_of_its_read():
    """Guards against a key that a slow answer denies although it was added since."""
    async with instance(strict=False) as found:
        read = found.registry.rows_changed

        async def answer_late(*args):
            answer = await read(*args)
            await anyio.sleep(3.0)
            return answer

        found.registry.rows_changed = answer_late
        await anyio.sleep(20.0)
        for _ in range(30):
            await anyio.sleep(0.1)
            assert found.decide("none") is RefusalReason.NOT_CONFIRMED


@pytest.mark.parametrize("strict", [True, False])
@pytest.mark.parametrize("value", [b"{", b'{"version": 2}', None])
async def test_row_that_cannot_be_read_confirms_nothing(strict, value):
    """Guards against later answers without a change that confirm what is out of date.

    The row may have removed one key and added another one.
    """
    async with instance(strict) as found:
        if value is None:
            found.platform.rows.transact({}, {}, [("op", "", "config")])
        else:
            found.write_row(value)
        await anyio.sleep(REVOCATION_S)
        expected = RefusalReason.REVOCATION if strict else "of-old"
        assert found.decide("old") == expected
        refused = RefusalReason.REVOCATION if strict else RefusalReason.NOT_CONFIRMED
        assert found.decide("none") is refused
        found.write(3, "kept")
        await anyio.sleep(SETTLED_S)
        assert found.decide("kept") == "of-kept"
        assert found.decide("old") is RefusalReason.UNKNOWN_KEY


async def test_row_with_another_content_of_a_known_version_confirms_nothing():
    """Guards against a key that is removed by a row which is not taken over."""
    async with instance() as found:
        found.write(1, "kept")
        await anyio.sleep(REVOCATION_S)
        assert found.decide("old") is RefusalReason.REVOCATION
