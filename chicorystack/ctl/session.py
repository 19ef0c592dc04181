"""Runs operator commands in the reactor, with settings and clients."""

import contextlib
import os
from collections.abc import Awaitable, Callable
from typing import TypeVar

from twisted.internet import reactor, task
from twisted.internet.defer import ensureDeferred

from chicorystack import defaults
from chicorystack.budget.keeper.client import (
    KeeperLocator,
    KeeperUnreachableError,
)
from chicorystack.budget.keeper.messages import CustomerCreated, ToppedUp
from chicorystack.config.messages import CONFIG_STREAM, ConfigRecord
from chicorystack.config.store import ConfigStore
from chicorystack.errors import ApiError, UserError
from chicorystack.infrastructure.log_client import LogClient
from chicorystack.infrastructure.messages import LogEntry, Vm, VmList
from chicorystack.observe.logs import setup_logs
from chicorystack.settings.loader import load_settings
from chicorystack.settings.types import CtlSettings
from chicorystack.web.client import JsonClient, UnreachableError

ResultT = TypeVar("ResultT")

Record = ConfigRecord | CustomerCreated | ToppedUp


class CommandError(UserError):
    """A command failed."""


class Session:
    """Clients of the platform and the fleet for one command.

    Attributes:
        settings: Validated settings.
        client: Client for the fleet's control ports.
        log: Client of the log service.
    """

    def __init__(self, flags: dict[str, object]):
        self.settings = load_settings(CtlSettings, flags, os.environ)
        self.client = JsonClient(reactor, self.settings.fleet_token)
        self.log = LogClient(reactor, self.client, self.settings.log_url)

    async def read_stream(self, stream: str) -> list[LogEntry]:
        """Returns all entries of a stream."""
        entries: list[LogEntry] = []
        offset = 0
        while True:
            page = await self.log.read(stream, offset)
            entries.extend(page["entries"])
            offset = page["next_offset"]
            if offset >= page["end_offset"]:
                return entries

    async def append(self, stream: str, record: Record) -> int:
        """Appends a record and returns its offset.

        Raises:
            CommandError: If the log did not answer in time. The record may
                have been appended; its id makes a repeated append safe.
        """
        deadline = reactor.seconds() + defaults.COMMAND_TIMEOUT_S
        try:
            return await self.log.append_until_acknowledged(
                stream, record, deadline
            )
        except UnreachableError as error:
            raise CommandError(
                "the log gave no answer in time, and the change may have "
                f"taken effect; its id is {record['id']}: {error}"
            ) from error

    async def read_config(self) -> ConfigStore:
        """Returns the configuration according to the log."""
        store = ConfigStore()
        for entry in await self.read_stream(CONFIG_STREAM):
            store.deliver(entry)
        return store

    async def read_vms(self) -> list[Vm]:
        """Returns the platform's list of VMs."""
        vm_list = await self.client.get(self.settings.vm_list_url, VmList)
        return vm_list["vms"]

    async def keeper_locator(self) -> KeeperLocator:
        """Returns a locator that searches the live routers for keepers."""
        url_by_name = {
            vm["name"]: f"http://{vm['address']}:{vm['port']}"
            for vm in await self.read_vms()
            if vm["role"] == "router" and vm["state"] == "live"
        }
        return KeeperLocator(reactor, self.client, lambda: url_by_name)


def run_command(
    flags: dict[str, object], command: Callable[[Session], Awaitable[ResultT]]
) -> ResultT:
    """Runs a command in the reactor and returns its result.

    Raises:
        UserError: With a message of one line.
    """
    setup_logs("ctl", "ERROR")
    session = Session(flags)
    results: list[ResultT] = []
    errors: list[BaseException] = []

    async def run() -> None:
        try:
            results.append(await command(session))
        except Exception as error:
            errors.append(error)

    def main(_reactor):
        return ensureDeferred(run())

    with contextlib.suppress(SystemExit):
        task.react(main, [])
    if errors:
        raise _to_user_error(errors[0]) from errors[0]
    return results[0]


def _to_user_error(error: BaseException) -> BaseException:
    """Converts errors of clients to errors for operators."""
    if isinstance(error, UnreachableError | KeeperUnreachableError):
        return CommandError(f"not reachable: {error}")
    if isinstance(error, ApiError):
        return CommandError(f"refused: {error}")
    return error
