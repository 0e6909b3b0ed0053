"""Tests of the copy of the platform's store."""

from limpetusher.fleet.version.mirror import StoredItem, StoreMirror


def make_item(key: str, revision: int, value: bytes = b"x") -> StoredItem:
    return StoredItem(key, value, revision)


def test_older_value_does_not_replace_a_newer_one():
    """Guards against a configuration that reverts when an old copy of a peer arrives late."""
    mirror = StoreMirror()
    mirror.replace([make_item("op/config", 7, b"new")], 7)
    assert mirror.replace([make_item("op/config", 5, b"old")], 5) == []
    assert mirror.items["op/config"].value == b"new"
    assert mirror.revision == 7


def test_removed_key_is_not_restored_by_an_older_value():
    """Guards against requests to a target that has left."""
    mirror = StoreMirror()
    mirror.put(make_item("servers/a", 3))
    assert mirror.remove("servers/a", 4).item is None
    assert mirror.put(make_item("servers/a", 3)) is None
    assert mirror.put(make_item("servers/a", 6)).item.revision == 6


def test_complete_copy_removes_missing_keys_unless_newer():
    """Guards against targets that stay listed after a watch has missed their removal."""
    mirror = StoreMirror()
    mirror.put(make_item("servers/gone", 3))
    mirror.put(make_item("servers/newer", 12))
    changes = mirror.replace([make_item("servers/kept", 5)], 10)
    assert {(change.key, change.item is None) for change in changes} == {
        ("servers/kept", False),
        ("servers/gone", True),
    }
    assert set(mirror.items) == {"servers/kept", "servers/newer"}


def test_older_complete_copy_removes_nothing():
    mirror = StoreMirror()
    mirror.replace([make_item("servers/a", 8), make_item("servers/b", 9)], 9)
    assert mirror.replace([make_item("servers/a", 8)], 8) == []
    assert "servers/b" in mirror.items


def test_late_value_of_a_removed_key_is_ignored():
    """Guards against a removed target or a revoked key coming back into use after a restart."""
    mirror = StoreMirror()
    mirror.replace([StoredItem("op/config", b"x", 11)], 20)
    assert mirror.put(StoredItem("servers/t1", b"gone at 15", 12)) is None
    assert mirror.replace([StoredItem("servers/t1", b"gone at 15", 12)], 14) == []
    assert set(mirror.items) == {"op/config"}
    assert mirror.put(StoredItem("servers/t1", b"new", 21)) is not None


def test_older_copy_does_not_restore_removed_keys():
    """Guards against a delayed copy of a peer that arrives after a newer one was merged."""
    mirror = StoreMirror()
    mirror.replace([StoredItem("servers/t1", b"x", 5)], 6)
    mirror.replace([], 9)
    mirror.replace([], 12)
    assert mirror.replace([StoredItem("servers/t1", b"x", 5)], 8) == []
    assert mirror.items == {}
