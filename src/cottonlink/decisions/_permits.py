"""Permits for one execution: opaque, authenticated strings that only their owner can verify.

A permit is URL-safe base64 of a MAC and a JSON payload. Any node can read the owner's name, to
forward a request there; only the owner's current incarnation holds the secret of the MAC.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import json

from attrs import astuple, frozen

PERMIT_LENGTH_LIMIT = 1_024
_MAC_BYTES = 32
_DIGEST_BYTES = 16
_FIELD_TYPES = (str, str, int, str, int)


@frozen
class Permit:
    """Content of a permit; the payload lists the fields in this order.

    ``issued_ms`` is the time of the owner's monotonic clock.
    """

    owner: str
    incarnation: str
    serial: int
    key_digest: str
    issued_ms: int


def digest_key(key: str) -> str:
    """Return a hexadecimal digest of an idempotency key, of constant length."""
    encoded = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def sign_permit(permit: Permit, secret: bytes) -> str:
    """Return the text of ``permit``, authenticated with the owner's ``secret``."""
    payload = json.dumps(astuple(permit), separators=(",", ":")).encode()
    mac = _compute_mac(payload, secret)
    return base64.urlsafe_b64encode(mac + payload).decode().rstrip("=")


def verify_permit(text: str, secret: bytes) -> Permit | None:
    """Return the content of a permit signed with ``secret``, or None for any other text."""
    decoded = _decode(text)
    if decoded is None:
        return None
    mac, payload = decoded[:_MAC_BYTES], decoded[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(payload, secret)):
        return None
    return _parse_payload(payload)


def owner_of_permit(permit: str) -> str | None:
    """Return the owner's name in ``permit``, unverified, or None if the text is malformed."""
    content = _read_unverified(permit)
    return content.owner if content else None


def incarnation_of_permit(permit: str) -> str | None:
    """Return the owner's incarnation in ``permit``, unverified, or None if malformed."""
    content = _read_unverified(permit)
    return content.incarnation if content else None


def _read_unverified(text: str) -> Permit | None:
    decoded = _decode(text)
    return _parse_payload(decoded[_MAC_BYTES:]) if decoded else None


def _compute_mac(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, "sha256")


def _decode(text: str) -> bytes | None:
    if len(text) > PERMIT_LENGTH_LIMIT:
        return None
    padded = text + "=" * (-len(text) % 4)
    try:
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None


def _parse_payload(payload: bytes) -> Permit | None:
    try:
        values = json.loads(payload)
    except (ValueError, RecursionError):
        return None
    if not isinstance(values, list) or len(values) != len(_FIELD_TYPES):
        return None
    if not all(type(v) is t for v, t in zip(values, _FIELD_TYPES, strict=True)):
        return None
    return Permit(*values)
