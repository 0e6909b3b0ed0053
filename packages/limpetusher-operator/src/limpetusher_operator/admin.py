"""Reading a router's admin port."""

import http.client
import ipaddress
from dataclasses import dataclass
from urllib.parse import quote

from limpetusher_operator.errors import OperatorError

TIMEOUT_SECONDS = 5.0
MAXIMUM_ANSWER_BYTES = 4_000_000
NOT_FOUND = 404
OK = 200


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an admin address.

    Raises
    ------
    OperatorError
        If it is not `IP:PORT`.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise OperatorError(f"router address {address!r}: allowed is IP:PORT, such as 10.0.0.1:9100")
    return host.removeprefix("[").removesuffix("]"), int(port)


def fetch(address: str, path: str) -> AdminAnswer:
    """Return the answer of a router's admin port.

    Raises
    ------
    OperatorError
        If the address is not valid or the router does not answer properly.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read(MAXIMUM_ANSWER_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        reason = str(error) or type(error).__name__
        raise OperatorError(
            f"router {address}: no answer from its admin port ({reason}); a running router is needed"
        ) from None
    finally:
        connection.close()
    if len(body) > MAXIMUM_ANSWER_BYTES:
        raise OperatorError(f"router {address}: answer to {path} is longer than {MAXIMUM_ANSWER_BYTES} bytes")
    return AdminAnswer(response.status, body)


def fetch_ok(address: str, path: str) -> bytes:
    """Return the body of a successful answer.

    Raises
    ------
    OperatorError
        If there is no answer or it is not a successful one.
    """
    answer = fetch(address, path)
    if answer.status != OK:
        raise OperatorError(f"router {address}: status {answer.status} for {path}, {OK} is needed")
    return answer.body


def fetch_configuration(address: str) -> bytes:
    """Return the configuration document that a router has in force.

    Raises
    ------
    OperatorError
        If there is none.
    """
    answer = fetch(address, "/configuration")
    if answer.status == NOT_FOUND:
        raise OperatorError(f"router {address}: has no configuration yet")
    if answer.status != OK:
        raise OperatorError(f"router {address}: status {answer.status} for /configuration")
    return answer.body


def fetch_explanation(address: str, request_id: str) -> bytes:
    """Return a router's record of a request.

    Raises
    ------
    OperatorError
        If the router keeps none.
    """
    path = "/explain/" + quote(request_id, safe="")
    answer = fetch(address, path)
    if answer.status == NOT_FOUND:
        raise OperatorError(
            f"request {request_id!r}: router {address} has no record of it; "
            "ask the router that received it, soon after"
        )
    if answer.status != OK:
        raise OperatorError(f"router {address}: status {answer.status} for {path}")
    return answer.body
