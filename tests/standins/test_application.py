"""Tests of the application service."""

import asyncio

import pytest

from builders_standins import get, post, running_application
from limpetusher_standins.http_client import IncompleteAnswerError


@pytest.mark.parametrize(
    ("failure", "ran"), [("cut_before_run", 0), ("cut_after_run", 1), ("cut_within_answer", 1)]
)
def test_failures_tell_whether_the_call_ran(failure: str, ran: int):
    """Guards against a record that lacks calls that ran or has calls that did not run."""

    async def run() -> None:
        async with running_application() as (_, address):
            await post(address, "/control", {"failure": failure, "count": 1})
            with pytest.raises((IncompleteAnswerError, ConnectionError)):
                await post(address, "/dispatch", {"call_id": "first"})
            assert len((await get(address, "/record")).json()["calls"]) == ran
            answer = (await post(address, "/dispatch", {"call_id": "second"})).json()
            assert (answer["call_id"], answer["path"]) == ("second", "/dispatch")
            assert len((await get(address, "/record")).json()["calls"]) == ran + 1

    asyncio.run(run())
