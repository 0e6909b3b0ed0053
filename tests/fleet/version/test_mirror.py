"""Tests of the copy of the platform's store."""

from limpetusher.fleet.version.mirror import Change, StoredItem, StoreMirror, make_revision


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


def make_mirror_before_restore() -> StoreMirror:
    """Return the copy of a store in generation 1, whose revisions 8 to 20 are then lost."""
    mirror = StoreMirror()
    items = [
        StoredItem("servers/same", b"same", make_revision(1, 3)),
        StoredItem("servers/changed", b"new", make_revision(1, 12)),
        StoredItem("servers/registered", b"new", make_revision(1, 14)),
        StoredItem("servers/gone", b"old", make_revision(1, 5)),
    ]
    mirror.replace(items, make_revision(1, 14))
    mirror.remove("servers/gone", make_revision(1, 20))
    mirror.advance(make_revision(1, 20))
    return mirror


def restored_item(key: str, number: int, value: bytes = b"old") -> StoredItem:
    return StoredItem(key, value, make_revision(2, number))


def test_older_state_of_a_restored_store_is_marked_as_outdated():
    """Guards against using a target again that has left, and against losing those that registered since."""
    mirror = make_mirror_before_restore()
    same = restored_item("servers/same", 3, b"same")
    changed = restored_item("servers/changed", 6)
    gone = restored_item("servers/gone", 5)
    changes = mirror.replace([same, changed, gone], make_revision(2, 8))
    assert changes == [
        Change("servers/changed", changed, is_outdated=True),
        Change("servers/gone", gone, is_outdated=True),
        Change("servers/registered", None, is_outdated=True),
    ]
    assert mirror.revision == make_revision(2, 8)


def test_values_written_after_a_restore_are_not_outdated():
    """Guards against holding back what the operator and the targets have written again."""
    mirror = make_mirror_before_restore()
    mirror.replace([restored_item("servers/changed", 6)], make_revision(2, 8))
    assert mirror.put(restored_item("servers/changed", 9, b"newest")) == Change(
        "servers/changed", restored_item("servers/changed", 9, b"newest")
    )
    assert not mirror.put(restored_item("servers/gone", 10)).is_outdated


def test_greater_number_after_a_restore_is_a_new_value():
    mirror = make_mirror_before_restore()
    new = [restored_item("servers/changed", 13, b"newest"), restored_item("servers/other", 4)]
    changes = mirror.replace(new, make_revision(2, 22))
    assert [change.is_outdated for change in changes if change.item is not None] == [False, False]


def test_late_update_from_before_a_restore_changes_nothing():
    """Guards against an update of a router that does not know of the restore yet."""
    mirror = make_mirror_before_restore()
    mirror.replace([restored_item("servers/changed", 6)], make_revision(2, 8))
    assert mirror.put(StoredItem("servers/changed", b"late", make_revision(1, 30))) is None
    assert (
        mirror.replace([StoredItem("servers/late", b"late", make_revision(1, 30))], make_revision(1, 30))
        == []
    )
    assert mirror.remove("servers/changed", make_revision(1, 31)) is None
