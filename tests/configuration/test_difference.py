"""Tests of the comparison of documents."""

import json

from builders_versions import document_fields
from limpetusher.configuration.difference import compare_documents
from limpetusher.configuration.document import parse_document


def describe_differences(old: dict, new: dict) -> list[str]:
    """Return the differences between two documents as lines."""
    parsed = [parse_document(json.dumps(fields).encode()) for fields in (old, new)]
    return [str(difference) for difference in compare_documents(*parsed)]


def test_differences_name_the_path_of_each_value():
    """Guards against differences that are missing, so that an unintended change is published."""
    new = document_fields(2, weight_loads_per_minute=3, placements=[])
    new["customers"][0]["share"] = 3
    new["customers"][0]["services"].append("lookup")
    new["services"].append(
        {
            "name": "lookup",
            "kind": "application",
            "routes": [{"method": "GET", "path_prefix": "/", "idempotent": True}],
        }
    )
    assert describe_differences(document_fields(1), new) == [
        "customers[press].services[lookup]: added",
        "customers[press].share: 2.0 -> 3.0",
        "placements[engine-1]: removed",
        "services[lookup]: added",
        "version: 1 -> 2",
        "weight_loads_per_minute: 6.0 -> 3.0",
    ]


def test_order_of_entries_does_not_matter():
    """Guards against reordered entries being reported, which would hide actual changes."""
    fields = document_fields()
    assert describe_differences(fields, document_fields(data_centres=fields["data_centres"][::-1])) == []


def test_digests_of_keys_are_not_shown():
    """Guards against digests of API keys in the output of the operator tool."""
    new = document_fields()
    new["customers"][0]["api_keys"][0]["digest"] = "cd" * 32
    assert describe_differences(document_fields(), new) == [
        "customers[press].api_keys[press-1].digest: (not shown) -> (not shown)"
    ]
