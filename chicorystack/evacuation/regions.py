"""Regions of data centres, and in which of them a call may run."""

from typing import Protocol


class RegionalCall(Protocol):
    """A call as far as regions matter.

    Attributes:
        allowed_regions: Regions in which it may run; None for any.
    """

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """See the class."""


class RegionTable:
    """Regions by data centre."""

    def __init__(self, region_by_data_centre: dict[str, str]):
        self._region_by_data_centre = region_by_data_centre

    def replace(self, region_by_data_centre: dict[str, str]) -> None:
        """Replaces all regions."""
        self._region_by_data_centre = region_by_data_centre

    def allowed(self, call: RegionalCall, data_centre: str) -> bool:
        """Returns whether a call may run in a data centre.

        A data centre without a known region is allowed only for calls that
        may run in any.
        """
        if call.allowed_regions is None:
            return True
        region = self._region_by_data_centre.get(data_centre)
        return region in call.allowed_regions


def intersect_regions(
    *restrictions: frozenset[str],
) -> frozenset[str] | None:
    """Returns the regions that all restrictions allow; None for any.

    An empty restriction allows any region.
    """
    allowed: frozenset[str] | None = None
    for regions in filter(None, restrictions):
        allowed = regions if allowed is None else allowed & regions
    return allowed
