"""Shared helpers: ids, hashes, rendezvous hashing and backoff."""

import hashlib
import random
import secrets
from collections.abc import Iterable

from chicorystack import defaults

ID_BYTES = 9
KEY_HASH_BYTES = 12


def new_id() -> str:
    """Returns a random id of 12 URL-safe characters."""
    return secrets.token_urlsafe(ID_BYTES)


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash of text that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def key_hash(customer: str, key: str) -> str:
    """Returns the hash that identifies a call's key in storage and billing."""
    text = f"{customer}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=KEY_HASH_BYTES).hexdigest()


def secret_hash(secret: str, salt: str) -> str:
    """Returns the salted hash of a customer's secret key."""
    return hashlib.blake2b(
        secret.encode(), salt=bytes.fromhex(salt)
    ).hexdigest()


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Returns names in descending order of rendezvous weight for key."""
    return sorted(
        names, key=lambda name: stable_hash(f"{key}\0{name}"), reverse=True
    )


def shard_of(customer: str, shard_count: int) -> int:
    """Returns the shard that stores the customer's budgets."""
    return stable_hash(customer) % shard_count


def budget_id(customer: str, budget: str) -> str:
    """Returns the id of a customer's budget in the ledger."""
    return f"{customer}/{budget}"


def backoff_delay(
    attempt: int, max_s: float = defaults.LOG_RETRY_MAX_S
) -> float:
    """Returns an exponential backoff delay with jitter, in seconds."""
    base_delay_s = defaults.LOG_RETRY_INITIAL_S * 2 ** min(attempt, 10)
    return random.uniform(0.5, 1.0) * min(base_delay_s, max_s)
