"""Read the items of stored batches within the memory of the instance."""

import zlib

import anyio
from result import Err, Result

from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy.memory_budget import MemoryBudget
from plantainstack.services.batch_encoding import decompress
from plantainstack.services.batch_store import (
    OBJECT_BYTES_MAX,
    BatchStore,
    unreadable_batch,
)
from plantainstack.serving import Batch

# Memory of an object that is being received: its parts, and then the whole.
RECEIVING_BYTES = 2 * OBJECT_BYTES_MAX
# A reader that cannot be served for longer tries another instance.
RECEIVING_WAIT_S = 1.0


class BatchLoader:
    """Read batches; one object at a time, since an object may take megabytes."""

    def __init__(self, batch_store: BatchStore, memory: MemoryBudget):
        self._batch_store = batch_store
        self._memory = memory
        self._receiving = anyio.Lock()
        self._held = 0
        memory.add_part("loading", lambda: self._held)

    async def load(self, batch_id: str, tenant: str) -> Result[Batch, Failure]:
        """Read a batch of a tenant that exists, with all of its items.

        Fails with OVERLOADED if the batch does not fit into the memory at present.
        """
        found = await self._batch_store.batch_rows(batch_id)
        if found.is_err():
            return found
        if found.unwrap():
            return self._decode(batch_id, tenant, found.unwrap())
        with anyio.move_on_after(RECEIVING_WAIT_S) as scope:
            await self._receiving.acquire()
        if scope.cancelled_caught:
            return Err(_no_memory(batch_id))
        try:
            return await self._load_object(batch_id, tenant)
        finally:
            self._receiving.release()

    async def _load_object(self, batch_id: str, tenant: str) -> Result[Batch, Failure]:
        if self._memory.left_for("loading") < RECEIVING_BYTES:
            return Err(_no_memory(batch_id))
        self._hold(RECEIVING_BYTES)
        try:
            found = await self._batch_store.batch_object(batch_id, tenant)
            if found.is_err():
                return found
            return self._decode(batch_id, tenant, found.unwrap())
        finally:
            self._hold(0)

    def _hold(self, size: int) -> None:
        self._held = size
        self._memory.reclaim()

    def _decode(
        self, batch_id: str, tenant: str, data: bytes
    ) -> Result[Batch, Failure]:
        if not data:
            message = f"the store returned no items of batch {batch_id}"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        # The encoded items are held until all of them are decoded.
        bytes_max = (self._memory.left_for("loading") - len(data)) // 2
        try:
            encoded = decompress(data, max(0, bytes_max))
        except zlib.error as exc:
            return Err(unreadable_batch(batch_id, str(exc)))
        if encoded is None:
            return Err(_no_memory(batch_id))
        before = self._held
        self._hold(max(before, len(data) + 2 * len(encoded)))
        try:
            return self._batch_store.decode_batch(batch_id, tenant, encoded)
        finally:
            self._held = before


def _no_memory(batch_id: str) -> Failure:
    message = f"there is no memory to read batch {batch_id}"
    return Failure.of(ErrorKind.OVERLOADED, message)
