"""Structured logs: one short sentence each, with the part's fixed prefix."""

import sys

from loguru import logger

LINE_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} "
    "{extra[process]} {extra[part]}: {message}"
)


def setup_logs(process: str, level: str) -> None:
    """Sends log lines to standard error with the process's name in each."""
    logger.remove()
    logger.configure(extra={"process": process, "part": "main"})
    logger.add(sys.stderr, level=level, format=format_record, backtrace=False)


def format_record(record) -> str:
    """Returns the line format, with the record's own fields at the end."""
    fields = {
        name: value
        for name, value in record["extra"].items()
        if name not in ("process", "part")
    }
    record["extra"]["fields"] = "".join(
        f" {name}={value}" for name, value in fields.items() if name != "fields"
    )
    return LINE_FORMAT + "{extra[fields]}\n{exception}"


def part_logger(part: str):
    """Returns a logger whose lines carry the part's prefix."""
    return logger.bind(part=part)
