"""The audit trail has the order of the log and shows rejected changes."""

import json

from chicorystack.ctl.audit import (
    config_changes,
    format_changes,
    shard_changes,
)


def entries(*records):
    return [
        {"offset": offset, "time": 100.0 + offset, "record": json.dumps(record)}
        for offset, record in enumerate(records)
    ]


def publication(record_id, replaces, operator, text):
    return {
        "kind": "config_published",
        "id": record_id,
        "replaces": replaces,
        "operator": operator,
        "text": text,
        "config": {"sites": {}},
    }


def top_up(record_id, tokens):
    return {
        "kind": "topped_up",
        "id": record_id,
        "customer": "alpha",
        "budget": "main",
        "tokens": tokens,
        "operator": "eva",
    }


def claim(epoch, router):
    return {
        "kind": "keeper_claimed",
        "id": f"{router}-{epoch}",
        "epoch": epoch,
        "router": router,
        "url": "http://127.0.0.1:1",
    }


def summaries(changes):
    return [(change["who"], change["old"], change["new"]) for change in changes]


def test_second_publication_of_a_version_is_shown_as_rejected():
    changes = list(
        config_changes(
            entries(
                publication("a", 0, "eva", "x: 1\ny: 2\n"),
                publication("b", 1, "ole", "x: 1\ny: 3\n"),
                publication("c", 1, "eva", "x: 9\n"),
                publication("b", 1, "ole", "x: 1\ny: 3\n"),
            )
        )
    )
    assert summaries(changes) == [
        ("eva", "version 0", "version 1"),
        ("ole", "version 1", "version 2"),
        ("eva", "version 2", "version 2 (came second)"),
    ]
    assert changes[1]["diff"] == ["@@ -1,2 +1,2 @@", " x: 1", "-y: 2", "+y: 3"]
    assert changes[2]["diff"] == []
    assert "    -y: 2" in format_changes(changes, with_diff=True)


def test_versions_are_correct_after_publications_have_expired():
    expired, snapshot, accepted = entries(
        publication("z", 7, "eva", "x: 1\n"),
        {
            "kind": "config_kept",
            "id": "k",
            "version": 8,
            "offset": 5,
            "read_to": 6,
            "publication": publication("z", 7, "eva", "x: 1\n"),
        },
        publication("y", 8, "ole", "x: 2\n"),
    )
    stream = [entry | {"offset": entry["offset"] + 5} for entry in (
        expired, snapshot, accepted
    )]  # fmt: skip
    unknown = "unknown, as earlier records have expired"
    assert summaries(config_changes(stream)) == [
        ("eva", unknown, unknown),
        ("ole", "version 8", "version 9"),
    ]


def test_repeated_top_up_and_late_claim_change_nothing():
    changes = shard_changes(
        "shard-0",
        entries(
            top_up("t1", 100),
            top_up("t1", 100),
            top_up("t2", 50),
            claim(1, "router-1"),
            claim(1, "router-2"),
            claim(2, "router-2"),
            {"kind": "ledger_batch", "id": "x"},
        ),
    )
    assert summaries(changes) == [
        ("eva", "0 tokens", "100 tokens"),
        ("eva", "100 tokens", "100 tokens (sent again)"),
        ("eva", "100 tokens", "150 tokens"),
        ("router-1", "none epoch 0", "router-1 epoch 1"),
        ("router-2", "router-1 epoch 1", "router-1 epoch 1 (came second)"),
        ("router-2", "router-1 epoch 1", "router-2 epoch 2"),
    ]
