"""Starts a gateway router that the platform's settings file configures.

Signals are handled before the program's other modules are loaded.
"""

from chicorystack.signals import load_and_run


def main() -> None:
    """Entry point."""
    load_and_run("chicorystack.platform.router_process")


if __name__ == "__main__":
    main()
