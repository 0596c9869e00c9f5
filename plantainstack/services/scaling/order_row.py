"""Store the orders in force of a service, for the next holder of the duty."""

import msgspec
from result import Err, Ok, Result

from plantainstack.decoding import UnreadableRows, decode
from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy.scaling import ScaleState
from plantainstack.serving import MetadataStore, RowName, Transaction

TABLE = "scaling"
KEY = "orders"

_STATE = msgspec.msgpack.Decoder(ScaleState)


class OrderRow:
    """Read and write the row of one service under optimistic concurrency control."""

    def __init__(self, store: MetadataStore, service: str):
        self._store = store
        self._name = RowName(TABLE, service, KEY)
        self._unreadable = UnreadableRows("scaling.row_not_readable")
        self._version = 0
        self._data: bytes | None = None

    async def load(self) -> Result[ScaleState | None, Failure]:
        """Return the stored state, None if there is no readable one."""
        outcome = await self._store.read(TABLE, self._name.part)
        if outcome.is_err():
            return outcome
        self._version, self._data = 0, None
        for row in outcome.unwrap().rows:
            if row.name != self._name or row.value is None:
                continue
            self._version, self._data = row.version, row.value
            decoded = decode(_STATE, row.value)
            if decoded.is_ok():
                return Ok(decoded.unwrap())
            self._unreadable.record(row, decoded.unwrap_err())
        return Ok(None)

    async def save(self, state: ScaleState) -> Result[None, Failure]:
        """Store a state unless it is stored already.

        Fails if another holder has written since; `load` must precede the next call.
        """
        data = msgspec.msgpack.encode(state)
        if data == self._data:
            return Ok(None)
        outcome = await self._store.transact(
            Transaction(((self._name, self._version),), ((self._name, data),))
        )
        if outcome.is_err():
            return outcome
        written = outcome.unwrap()
        if not written.applied:
            message = "another instance has written the orders"
            return Err(Failure.of(ErrorKind.LEASE_LOST, message))
        self._version, self._data = written.version, data
        return Ok(None)
