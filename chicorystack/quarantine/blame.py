"""Finds what a request has in common with requests that crashed targets.

A request is described by several keys: one for its whole content, and one for
each part of its prompt that other requests may share. Each key of a request
that was running on a target as it crashed gets a strike. A key at the strike
limit is to blame, unless a key that the request does not have explains all of
its crashes as well: then the request may be sound, and running it shows which
of the two keys is to blame.
"""

from collections.abc import Iterable

from chicorystack.quarantine.strikes import StrikeTable


def blamed_key(strikes: StrikeTable, keys: Iterable[str]) -> str | None:
    """Returns a key of a request that is to blame for crashes, if any."""
    own = frozenset(keys)
    suspects = filter(strikes.at_limit, own)
    return next(
        (key for key in suspects if not _is_explained(strikes, key, own)), None
    )


def check(strikes: StrikeTable, keys: Iterable[str]) -> None:
    """Refuses a request that has a key to blame for crashes.

    Raises:
        ApiError: `quarantined`, with the time until the strikes expire.
    """
    key = blamed_key(strikes, keys)
    if key is not None:
        strikes.check(key)


def _is_explained(strikes: StrikeTable, key: str, own: frozenset[str]) -> bool:
    """Returns whether a key outside the request has all of a key's strikes."""
    crashes = strikes.crashes(key)
    return any(
        crashes <= strikes.crashes(other)
        for other in strikes.contents()
        if other not in own
    )
