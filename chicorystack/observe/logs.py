"""Structured logs: one line per message, prefixed with process and part."""

import sys
from typing import TextIO

from loguru import logger
from twisted.logger import LogLevel, formatEvent, globalLogBeginner

LINE_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} "
    "{extra[process]} {extra[part]}: {message}"
)


def setup_logs(process: str, level: str, stream: TextIO | None = None) -> None:
    """Configures logging to a stream, with the process's name in each line.

    Args:
        process: Name of this process.
        level: Minimum severity of logged messages.
        stream: Output stream; standard error if omitted.
    """
    logger.remove()
    logger.configure(extra={"process": process, "part": "main"})
    # With `diagnose`, tracebacks would show the values of variables, including
    # callers' secret keys.
    logger.add(
        stream or sys.stderr,
        level=level,
        format=format_record,
        backtrace=False,
        diagnose=False,
    )
    globalLogBeginner.beginLoggingTo(
        [log_twisted_event], redirectStandardIO=False, discardBuffer=True
    )


def log_twisted_event(event) -> None:
    """Logs errors reported by twisted, including unhandled failures."""
    if event["log_level"] < LogLevel.error:
        return
    failure = event.get("log_failure")
    error = None if failure is None else failure.value
    part_logger("twisted").opt(exception=error).error(
        "{}", formatEvent(event) or "unhandled error"
    )


def format_record(record) -> str:
    """Returns the line format, with the record's extra fields at the end."""
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
    """Returns a logger that prefixes its lines with the part's name."""
    return logger.bind(part=part)
