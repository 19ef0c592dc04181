"""Measures the marginal cost of state, messages and operations.

A slope is the cost of one more item: the difference of the costs at two sizes
divided by the difference of the sizes. Each is measured in several runs to
show its spread; memory is measured in a new process for each run.
"""

import gc
import multiprocessing
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from chicorystack.budget.keeper.ledger import ShardLedger
from chicorystack.budget.keeper.messages import Usage
from chicorystack.budget.keeper.wallet import ShardWallet
from chicorystack.calls.messages import LoadReport
from chicorystack.config.model import build_config
from chicorystack.config.parser import parse_config
from chicorystack.infrastructure.messages import LogEntry, Vm, VmList
from chicorystack.observe.decisions import DecisionLog
from chicorystack.observe.metrics import Metrics

RUNS = 3
PAGE_BYTES = 4096
SMALL, LARGE = 2_000, 22_000
encode = msgspec.json.encode


class Slope(NamedTuple):
    """A measured slope.

    Attributes:
        name: What is measured.
        unit: Unit of the figures.
        median: Median of the runs.
        lowest: Lowest figure of a run.
        highest: Highest figure of a run.
    """

    name: str
    unit: str
    median: float
    lowest: float
    highest: float


def slope_of(name: str, unit: str, figures: list[float]) -> Slope:
    """Returns the slope with the median and spread of the runs' figures."""
    rounded = [round(figure, 2) for figure in figures]
    return Slope(
        name, unit, round(statistics.median(rounded), 2), min(rounded),
        max(rounded),
    )  # fmt: skip


def rss_bytes() -> int:
    """Returns the resident set size of this process, in bytes."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def make_log_entry(offset: int, record: dict[str, object]) -> LogEntry:
    """Returns a record as an entry of the log service."""
    text = encode(record).decode()
    return LogEntry(offset=offset, time=1000.0 + offset / 1000, record=text)


def make_top_up_entry(number: int) -> LogEntry:
    """Returns the entry of a top-up; each number has its own budget."""
    return make_log_entry(
        number,
        {
            "kind": "topped_up",
            "id": f"top-up-{number:08}",
            "customer": f"customer-{number:06}",
            "budget": "main",
            "tokens": 1_000_000,
            "operator": "operator",
        },
    )


def make_customer_entry(number: int) -> LogEntry:
    """Returns the entry of the creation of a customer."""
    return make_log_entry(
        number,
        {
            "kind": "customer_created",
            "id": f"create-{number:08}",
            "customer": f"customer-{number:06}",
            "key_salt": f"{number:032x}",
            "key_hash": f"{number:0128x}",
            "operator": "operator",
        },
    )


def make_ledger() -> ShardLedger:
    """Returns a ledger with a keeper and one large, committed budget."""
    ledger = ShardLedger(0)
    ledger.apply(make_top_up_entry(0))
    claim = {"kind": "keeper_claimed", "id": "claim", "epoch": 1}
    claim |= {"router": "router-1", "url": "http://10.0.0.1:7101"}
    ledger.apply(make_log_entry(1, claim))
    committed = {"customer-000000/main": 1_000_000}
    ledger.apply(make_batch_entry(2, committed, []))
    return ledger


def make_batch_entry(offset: int, committed, bills: list[Usage]) -> LogEntry:
    """Returns the entry of a keeper's batch."""
    record = {"kind": "ledger_batch", "id": f"batch-{offset}", "epoch": 1}
    record["number"] = offset
    return make_log_entry(
        offset, record | {"committed": committed, "bills": bills}
    )


def make_usage(number: int) -> Usage:
    """Returns the usage of one call."""
    use = f"AbCdEfGhIjKl:{number}"
    return Usage("customer-000000/main", f"{number:024x}", 1, use)


def make_ledger_with_budgets(count: int) -> object:
    """Returns a ledger with this many budgets."""
    ledger = ShardLedger(0)
    for number in range(count):
        ledger.apply(make_top_up_entry(number))
    return ledger


def make_ledger_with_customers(count: int) -> object:
    """Returns a ledger with this many customers."""
    ledger = ShardLedger(0)
    for number in range(count):
        ledger.apply(make_customer_entry(number))
    return ledger


def make_ledger_with_bills(count: int) -> object:
    """Returns a ledger with this many billed keys."""
    ledger = make_ledger()
    for start in range(0, count, 100):
        bills = [make_usage(number) for number in range(start, start + 100)]
        ledger.apply(make_batch_entry(3 + start, {}, bills))
    return ledger


def make_wallet(count: int) -> object:
    """Returns a wallet with this many budgets."""
    wallet = ShardWallet(0, "AbCdEfGhIjKl")
    for number in range(count):
        wallet.request_tokens(f"customer-{number:06}/main", 500)
    return wallet


def make_decision_log(count: int) -> object:
    """Returns a full ring buffer of this many ordinary decision records."""
    log = DecisionLog(limit=count)
    for number in range(count):
        log.record(f"{number:024x}", "attempts", "sent", "fault-model-1")
    return log


STATE_FACTORIES: dict[str, Callable[[int], object]] = {
    "ledger, budget": make_ledger_with_budgets,
    "ledger, customer": make_ledger_with_customers,
    "ledger, billed key": make_ledger_with_bills,
    "wallet, budget": make_wallet,
    "decision record": make_decision_log,
}


def _memory_per_item(name: str) -> float:
    make_state = STATE_FACTORIES[name]
    small = make_state(SMALL)
    gc.collect()
    before = rss_bytes()
    large = make_state(LARGE)
    gc.collect()
    after = rss_bytes()
    del small, large
    # The small object is still allocated: the difference is the large one.
    return (after - before) / LARGE


def memory_slopes() -> list[Slope]:
    """Returns the bytes of memory per item of each kind of state."""
    context = multiprocessing.get_context("spawn")
    slopes = []
    for name in STATE_FACTORIES:
        with context.Pool(1, maxtasksperchild=1) as pool:
            figures = [
                pool.apply(_memory_per_item, (name,)) for _ in range(RUNS)
            ]
        slopes.append(slope_of(f"memory: {name}", "bytes", figures))
    return slopes


def timed_us(run: Callable[[int], object], count: int) -> float:
    """Returns the processor time per item, in microseconds."""
    started = time.process_time()
    run(count)
    return (time.process_time() - started) / count * 1e6


def _exchange_bills(count: int) -> None:
    wallet = ShardWallet(0, "AbCdEfGhIjKl")
    for number in range(count):
        wallet.usage_by_use[f"AbCdEfGhIjKl:{number}"] = make_usage(number)
    message = wallet.next_exchange()
    msgspec.json.decode(encode(message))


def make_config_text(targets: int) -> str:
    """Returns a configuration of 20 services with this many targets in all."""
    lines = ["shards: 256", "sites:", "  region-1:", "    data_centres:"]
    lines += [f"      - region-1-{number}" for number in range(1, 7)]
    lines.append("    services:")
    for model in range(20):
        lines += [f"      model-{model}:", "        kind: engine"]
        lines += ["        operations:", "          generate:"]
        lines += ["            repeatable: true", "        targets:"]
        for number in range(targets // 20):
            lines.append(f"          model-{model}-{number}:")
            data_centre = number % 6 + 1
            lines.append(f"            data_centre: region-1-{data_centre}")
    return "\n".join(lines) + "\n"


def _build_prepared_config(targets: int) -> None:
    raw = _config_by_target_count[targets]
    build_config(msgspec.json.decode(raw), 1)


_config_by_target_count: dict[int, bytes] = {}


def prepare_config(targets: int) -> float:
    """Checks and stores a configuration; returns the size of its record."""
    text = make_config_text(targets)
    config = parse_config(text, "capacity")
    _config_by_target_count[targets] = encode(config)
    return len(encode({"text": text, "config": config}))


def _record_decisions(count: int) -> None:
    log = DecisionLog()
    for _ in range(count):
        log.record("k", "attempts", "sent", "fault-model-1")


def _count_metrics(count: int) -> None:
    metrics = Metrics()
    for _ in range(count):
        metrics.count("calls.received")


def time_slopes() -> list[Slope]:
    """Returns the processor time per operation, in microseconds."""
    prepare_config(1_700)
    work: list[tuple[str, Callable[[int], object], int]] = [
        ("ledger takes a top-up", make_ledger_with_budgets, 5_000),
        ("ledger takes a bill", make_ledger_with_bills, 5_000),
        ("wallet states and decodes a bill", _exchange_bills, 5_000),
        (
            "process takes over a target's configuration",
            _build_prepared_config,
            1_700,
        ),
        ("decision record", _record_decisions, 50_000),
        ("metric count", _count_metrics, 50_000),
    ]
    return [
        slope_of(
            f"time: {name}",
            "us",
            [timed_us(run, count) for _ in range(RUNS)],
        )
        for name, run, count in work
    ]


def _exchange_bytes(bills: int) -> int:
    wallet = ShardWallet(0, "AbCdEfGhIjKl")
    for number in range(bills):
        wallet.usage_by_use[f"AbCdEfGhIjKl:{number}"] = make_usage(number)
    return len(encode(wallet.next_exchange()))


def _vm_list_bytes(count: int) -> int:
    vms = [
        Vm(
            name=f"model-{number % 20}-{number}",
            role="agent",
            site="region-1",
            data_centre="region-1-1",
            address=f"10.1.{number // 250}.{number % 250}",
            port=7200,
            state="live",
        )
        for number in range(count)
    ]
    return len(encode(VmList(version=1, vms=vms)))


def byte_slopes() -> list[Slope]:
    """Returns the sizes of messages and records, in bytes.

    They don't vary, so each is measured once.
    """
    load = LoadReport(
        target="model-1-1", ready=True, in_flight=12, running=12, queued=3,
        config_version=950,
    )  # fmt: skip
    config_growth = (prepare_config(2_000) - prepare_config(200)) / 1_800
    vm_growth = (_vm_list_bytes(2_000) - _vm_list_bytes(200)) / 1_800
    bill_growth = (_exchange_bytes(1_000) - _exchange_bytes(0)) / 1_000
    sizes = {
        "configuration record, target": config_growth,
        "VM list, VM": vm_growth,
        "exchange, fixed part": _exchange_bytes(0),
        "exchange, bill": bill_growth,
        "load report": len(encode(load)),
        "log, top-up record": len(make_top_up_entry(1)["record"]),
        "log, customer record": len(make_customer_entry(1)["record"]),
    }
    return [
        slope_of(f"size: {name}", "bytes", [float(size)])
        for name, size in sizes.items()
    ]
