"""Formats tables and points in time as plain text."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

COLUMN_SEPARATOR = "  "


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Returns a text table with columns as wide as their longest cell."""
    texts = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*texts, strict=True)
    ]
    lines = []
    for row in texts:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append(COLUMN_SEPARATOR.join(cells).rstrip())
    return "\n".join(lines)


def format_time(seconds: float) -> str:
    """Formats seconds since 1970 as a UTC timestamp with milliseconds."""
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"
