"""Plain text for people: tables and points in time."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

GAP = "  "


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns rows below a head, in columns as wide as needed."""
    texts = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*texts, strict=True)
    ]
    lines = []
    for row in texts:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append(GAP.join(cells).rstrip())
    return "\n".join(lines)


def time_text(seconds: float) -> str:
    """Returns a time in seconds since 1970 as UTC, to the millisecond."""
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"
