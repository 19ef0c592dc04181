"""What a check of a configuration finds."""

import enum
from typing import NamedTuple


class Severity(enum.Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"
    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Finding(NamedTuple):
    """One finding.

    Attributes:
        severity: How serious it is.
        where: Position in the file, or path of an entry that differs.
        message: What was found; empty for an entry that is added or removed.
    """

    severity: Severity
    where: str
    message: str
