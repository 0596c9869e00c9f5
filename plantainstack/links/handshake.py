"""Mutual authentication of peer links with a pre-shared key."""

import hashlib
import hmac
import secrets
from typing import Literal

import cbor2
import msgspec

from plantainstack.errors import PeerError

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
PROOF_BYTES = 32

Role = Literal["opener", "acceptor"]


class _Envelope(msgspec.Struct, frozen=True):
    type: str
    ask: int | None = None
    re: int | None = None


class Hello(msgspec.Struct, frozen=True):
    """First message: the protocol version, the sender's id and its nonce."""

    type: Literal["hello"]
    protocol: int
    id: str
    nonce: bytes


class Proof(msgspec.Struct, frozen=True):
    """Second message: a MAC over both nonces, which proves the shared key."""

    type: Literal["proof"]
    mac: bytes


class Handshake:
    """Builds and verifies the frames of one side; does no I/O.

    The MAC covers the sender's role, so that a proof cannot be reflected.
    """

    def __init__(self, key: bytes, own_id: str, role: Role):
        self._key = hashlib.blake2b(key, digest_size=PROOF_BYTES).digest()
        self._role = role
        self._own = Hello("hello", PROTOCOL_VERSION, own_id, _nonce())
        self._peer: Hello | None = None

    def hello(self) -> bytes:
        """Return the first frame to send."""
        return encode(msgspec.structs.asdict(self._own))

    def proof(self) -> bytes:
        """Return the second frame to send, once the peer's hello was accepted."""
        return encode({"type": "proof", "mac": self._mac(self._role)})

    def accept_hello(self, frame: bytes) -> str:
        """Verify the peer's first frame and return the peer's id.

        Raises PeerError if the frame is invalid or of another protocol version.
        """
        hello = _decode_as(frame, Hello)
        if hello.protocol != PROTOCOL_VERSION:
            raise PeerError(
                f"peer {hello.id!r} uses protocol version {hello.protocol}, "
                f"expected {PROTOCOL_VERSION}"
            )
        if len(hello.nonce) != NONCE_BYTES:
            raise PeerError(f"peer {hello.id!r} sent a nonce of invalid length")
        self._peer = hello
        return hello.id

    def accept_proof(self, frame: bytes) -> None:
        """Verify the peer's second frame.

        Raises PeerError if the frame is invalid or the MAC does not match.
        """
        proof = _decode_as(frame, Proof)
        other = "acceptor" if self._role == "opener" else "opener"
        if not hmac.compare_digest(proof.mac, self._mac(other)):
            raise PeerError("proof of the peer does not match the shared key")

    def _mac(self, role: Role) -> bytes:
        pair = (self._own, self._peer)
        opener, acceptor = pair if self._role == "opener" else pair[::-1]
        fields = [role, opener.id, opener.nonce, acceptor.id, acceptor.nonce]
        message = cbor2.dumps([PROTOCOL_VERSION, *fields])
        return hashlib.blake2b(message, key=self._key, digest_size=PROOF_BYTES).digest()


def encode(message: dict) -> bytes:
    """Encode a message as one CBOR map."""
    return cbor2.dumps(message)


def decode(frame: bytes | str) -> dict:
    """Decode a CBOR map with a text `type` and optional numbers `ask` and `re`.

    Raises PeerError if the frame is not such a map.
    """
    if isinstance(frame, str):
        raise PeerError("frame is text instead of binary CBOR")
    try:
        message = msgspec.convert(cbor2.loads(frame), dict[str, object])
        msgspec.convert(message, _Envelope)
    except (cbor2.CBORError, msgspec.ValidationError) as exc:
        raise PeerError(f"frame is not a valid CBOR map: {exc}") from exc
    return message


def _decode_as(frame: bytes | str, kind: type):
    try:
        return msgspec.convert(decode(frame), kind)
    except msgspec.ValidationError as exc:
        raise PeerError(f"frame is not a valid {kind.__name__.lower()}") from exc


def _nonce() -> bytes:
    return secrets.token_bytes(NONCE_BYTES)
