"""Entry point of chicory-agent.

Signals are handled before the program's other modules are loaded.
"""

from chicorystack.signals import load_and_run


def main() -> None:
    """Entry point."""
    load_and_run("chicorystack.agent.process")
