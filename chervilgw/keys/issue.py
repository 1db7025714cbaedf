"""Issues keys and computes the digests of their secrets."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass, field

from chervilgw.core.ids import KeyId

KEY_PREFIX = "cgw"
_KEY_ID_BYTES = 6
_SECRET_BYTES = 32
_SALT_BYTES = 16
_KEY_PATTERN = re.compile(rf"{KEY_PREFIX}_([0-9a-z]{{4,32}})_([0-9A-Za-z]{{16,128}})")


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A new key; ``text`` is shown to the operator once and never stored.

    Parameters
    ----------
    key_id : KeyId
        Public identifier, safe in logs and messages.
    text : str
        ``cgw_<key id>_<secret>``.
    salt : str
        Hexadecimal salt of the digest.
    digest : str
        Digest that the configuration stores.
    """

    key_id: KeyId
    text: str = field(repr=False)
    salt: str
    digest: str


def issue_key() -> IssuedKey:
    """Return a new random key.

    Examples
    --------
    >>> key = issue_key()
    >>> key_id, secret = split_key(key.text)
    >>> key_id == key.key_id, digest_secret(secret, key.salt) == key.digest
    (True, True)
    """
    key_id = KeyId(secrets.token_hex(_KEY_ID_BYTES))
    secret = secrets.token_hex(_SECRET_BYTES)
    salt = secrets.token_hex(_SALT_BYTES)
    text = f"{KEY_PREFIX}_{key_id}_{secret}"
    return IssuedKey(key_id, text, salt, digest_secret(secret, salt))


def split_key(presented: str) -> tuple[KeyId, str] | None:
    """Return key id and secret, or None if the text is not formatted as a key.

    Examples
    --------
    >>> split_key("cgw_ab12_0123456789abcdef")
    ('ab12', '0123456789abcdef')
    >>> split_key("sk-123") is None
    True
    """
    match = _KEY_PATTERN.fullmatch(presented)
    return (KeyId(match[1]), match[2]) if match else None


def digest_secret(secret: str, salt: str) -> str:
    """Return the salted digest of a secret.

    A fast hash is sufficient because a secret has 256 random bits; a slow one would
    cost processor time on every request.
    """
    return hmac.new(bytes.fromhex(salt), secret.encode(), hashlib.sha256).hexdigest()


def secret_matches(secret: str, salt: str, digest: str) -> bool:
    """Return whether a secret has the digest, compared in constant time."""
    return hmac.compare_digest(digest_secret(secret, salt), digest)
