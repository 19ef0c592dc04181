"""The report of `chicory-ctl check` on a configuration file."""

from collections import Counter
from typing import NamedTuple

from chicorystack.config.check import (
    Finding,
    Severity,
    check_text,
    find_changes,
)
from chicorystack.config.gateway_check import check_gateway
from chicorystack.config.model import FleetConfig, build_config
from chicorystack.ctl.configuration import read_text
from chicorystack.platform.operator_config import decode_config
from chicorystack.store.keyed_log import StoreError

# Configurations of the platform's operator are JSON, those of the own
# interface YAML.
GATEWAY_SUFFIX = ".json"


class CheckReport(NamedTuple):
    """What was found in a configuration file.

    Attributes:
        file: Path of the file.
        findings: All findings.
        config: The configuration; None if the file has errors, or is one of
            the platform's operator.
        in_force: Version that it was compared with; None if it wasn't, 0 if
            none is in force.
    """

    file: str
    findings: list[Finding]
    config: FleetConfig | None
    in_force: int | None = None

    @property
    def has_errors(self) -> bool:
        """Whether the configuration would be refused."""
        return any(f.severity is Severity.ERROR for f in self.findings)


def is_gateway_file(path: str) -> bool:
    """Whether a file holds a configuration of the platform's operator."""
    return path.endswith(GATEWAY_SUFFIX)


def check_file(path: str) -> CheckReport:
    """Checks a file; raises ConfigError if it is unreadable."""
    if is_gateway_file(path):
        return CheckReport(path, _check_gateway_file(path), None)
    checked = check_text(read_text(path), path)
    config = None if checked.spec is None else build_config(checked.spec, 0)
    return CheckReport(path, checked.findings, config)


def _check_gateway_file(path: str) -> list[Finding]:
    try:
        config = decode_config(read_text(path).encode())
    except StoreError as error:
        return [Finding(Severity.ERROR, path, str(error))]
    return check_gateway(config)


def compare(report: CheckReport, in_force: FleetConfig) -> CheckReport:
    """Adds the differences from the version in force."""
    changes: list[Finding] = []
    if in_force.version:
        changes = find_changes(in_force, report.config)
    return report._replace(
        findings=report.findings + changes, in_force=in_force.version
    )


def to_json(report: CheckReport) -> dict[str, object]:
    """Returns the report as a JSON object."""
    return {
        "file": report.file,
        "ok": not report.has_errors,
        "in_force": report.in_force,
        "findings": [
            finding._asdict() | {"severity": finding.severity.value}
            for finding in report.findings
        ],
    }


def format_report(report: CheckReport) -> str:
    """Returns the report as text: a line for each finding and a summary."""
    lines = [_format_finding(finding) for finding in report.findings]
    return "\n".join([*lines, _summarize(report)])


def _format_finding(finding: Finding) -> str:
    line = f"{finding.severity.value}: {finding.where}"
    return f"{line}: {finding.message}" if finding.message else line


def _summarize(report: CheckReport) -> str:
    counts = Counter(finding.severity for finding in report.findings)
    verdict = "invalid" if report.has_errors else "valid"
    parts = [
        _count(counts[severity], severity)
        for severity in Severity
        if counts[severity]
    ]
    summary = ", ".join([verdict, *parts])
    if report.in_force is None:
        return f"{report.file}: {summary}"
    compared = (
        f"compared with version {report.in_force}"
        if report.in_force
        else "no configuration is in force"
    )
    return f"{report.file}: {summary} ({compared})"


def _count(number: int, severity: Severity) -> str:
    is_noun = severity in (Severity.ERROR, Severity.WARNING)
    plural = "s" if is_noun and number > 1 else ""
    return f"{number} {severity.value}{plural}"
