"""Encode what is stored of batches, and decode it within a limit of memory."""

import zlib
from typing import Any

import anyio
import msgspec

from plantainstack.policy.item_runs import PartialText
from plantainstack.serving import Batch, ItemResult

# Bytes that are compressed before other tasks have a turn, some 5 ms.
COMPRESSED_AT_ONCE_BYTES = 128 * 1024
# Compressed bytes that are decompressed at once, to a thousand times as many at most.
DECOMPRESSED_AT_ONCE_BYTES = 16 * 1024

_RESULT = msgspec.msgpack.Decoder(ItemResult)


def encode_result(result: ItemResult) -> bytes:
    """Return a result as it is stored in a row."""
    # The encoder leaves up to half as much unused memory behind what it returns.
    return bytes(memoryview(msgspec.msgpack.encode(without_defaults(result))))


def decode_result(encoded: bytes) -> ItemResult:
    """Return the result that `encode_result` encoded."""
    return _RESULT.decode(encoded)


def encode_piece(piece: PartialText) -> bytes:
    """Return a piece of text as it is stored; the key of its row names its software."""
    return msgspec.msgpack.encode(without_defaults(piece._replace(software=None)))


def row_bytes(record: ItemResult | PartialText) -> int:
    """Return the size of the row that stores a result or a piece of text."""
    if isinstance(record, PartialText):
        return len(encode_piece(record))
    return len(encode_result(record))


async def encode_batch(batch: Batch, bytes_max: int) -> bytes | None:
    """Return a batch as it is stored, or None if that takes more than `bytes_max`."""
    items = tuple(without_defaults(item) for item in batch.items)
    encoded = msgspec.msgpack.encode(without_tenant(batch._replace(items=items)))
    compressor = zlib.compressobj(1)
    pieces: list[bytes] = []
    size = 0
    for at in range(0, len(encoded), COMPRESSED_AT_ONCE_BYTES):
        piece = compressor.compress(encoded[at : at + COMPRESSED_AT_ONCE_BYTES])
        size += len(piece)
        if size > bytes_max:
            return None
        pieces.append(piece)
        await anyio.lowlevel.checkpoint()
    pieces.append(compressor.flush())
    size += len(pieces[-1])
    # It is not held beside the pieces and the whole.
    del encoded
    return b"".join(pieces) if size <= bytes_max else None


def decompress(data: bytes, bytes_max: int) -> bytearray | None:
    """Return decompressed data, or None if that is more than `bytes_max`.

    Raises zlib.error if the data is not valid.
    """
    decompressor = zlib.decompressobj()
    found = bytearray()
    for at in range(0, len(data), DECOMPRESSED_AT_ONCE_BYTES):
        piece = data[at : at + DECOMPRESSED_AT_ONCE_BYTES]
        found += decompressor.decompress(piece, bytes_max - len(found) + 1)
        if len(found) > bytes_max:
            return None
    if not decompressor.eof:
        raise zlib.error("the data is cut off")
    return found


def without_defaults(record) -> tuple:
    """Return the fields of a named tuple without trailing ones that have defaults.

    Builds that do not know these fields reject records that contain them.
    """
    size = len(record)
    names = record._fields
    defaults = record._field_defaults
    while names[size - 1] in defaults and record[size - 1] == defaults[names[size - 1]]:
        size -= 1
    return tuple(record[:size])


def without_tenant(record: Any) -> tuple:
    """Return the fields of a record, without the last one, `tenant`, if it is empty."""
    return tuple(record if record.tenant else record[:-1])
