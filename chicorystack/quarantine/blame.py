"""Finds what a request has in common with requests that crashed targets.

A request is described by several keys: one for its whole content, and one for
each part of its prompt that other requests may share. Each key of a request
that was running on a target as it crashed gets a strike. A key at the strike
limit is to blame, unless a key that the request does not have explains all of
its crashes as well: then the request may be sound, and running it shows which
of the two keys is to blame.

That shows nothing if requests that explain each other's crashes run side by
side: they crash together once more, and each still has the other as its excuse.
So only one of them may run at a time, until it completes or crashes a target
without the others. Its turn ends after SUSPECT_TURN_S: it may not come again.
"""

from collections.abc import Iterable

from chicorystack import defaults
from chicorystack.errors import ApiError
from chicorystack.quarantine.strikes import StrikeTable
from chicorystack.util import stable_hash


def check(strikes: StrikeTable, keys: Iterable[str]) -> None:
    """Refuses a request that has a key to blame for crashes.

    Raises:
        ApiError: `quarantined`, with the time until the strikes expire, or
            until another request's turn ends.
    """
    own = frozenset(keys)
    key = blamed_key(strikes, own)
    if key is not None:
        strikes.check(key)
    key = waiting_key(strikes, own)
    if key is not None:
        turn_age_s = strikes.age_s(key) % defaults.SUSPECT_TURN_S
        left_s = defaults.SUSPECT_TURN_S - turn_age_s
        raise ApiError(
            "quarantined",
            "this request and another have crashed the same targets, and the "
            "other one is run first",
            retry_after_ms=max(1, int(left_s * 1000)),
        )


def blamed_key(strikes: StrikeTable, keys: Iterable[str]) -> str | None:
    """Returns a key of a request that is to blame for crashes, if any.

    No key outside the request explains its crashes.
    """
    own = frozenset(keys)
    for key in filter(strikes.at_limit, own):
        if strikes.crashes_by_explanation(key).keys() <= own:
            return key
    return None


def waiting_key(strikes: StrikeTable, keys: Iterable[str]) -> str | None:
    """Returns a key that is excused only if other requests don't run, if any.

    Returns:
        None if it is the request's turn to run.
    """
    own = frozenset(keys)
    for key in filter(strikes.at_limit, own):
        crashes_by_key = strikes.crashes_by_explanation(key)
        crashes = crashes_by_key[key]
        if any(crashes < found for found in crashes_by_key.values()):
            # What has more crashes than this key is not excused by it.
            continue
        if not _has_turn(strikes, key, frozenset(crashes_by_key), own):
            return key
    return None


def _has_turn(
    strikes: StrikeTable, key: str, tied: frozenset[str], own: frozenset[str]
) -> bool:
    """Returns whether no request that lacks one of the tied keys comes first.

    Two requests excuse each other if each has tied keys that the other lacks.
    All routers with the same strikes draw the same order.
    """
    turn = int(strikes.age_s(key) // defaults.SUSPECT_TURN_S)

    def position(tied_key: str) -> int:
        return stable_hash(f"{turn}\0{tied_key}")

    mine = own & tied
    for request in strikes.requests():
        others = request & tied
        if others <= mine or mine <= others:
            continue
        if min(mine ^ others, key=position) not in mine:
            return False
    return True
