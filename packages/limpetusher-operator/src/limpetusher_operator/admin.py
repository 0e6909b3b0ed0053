"""HTTP client for the admin port of a router."""

import http.client
import ipaddress
from dataclasses import dataclass
from urllib.parse import quote

from limpetusher_operator.errors import OperatorError

REQUEST_TIMEOUT_SECONDS = 5.0
MAXIMUM_RESPONSE_BYTES = 4_000_000
STATUS_NOT_FOUND = 404
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


def parse_address(address: str) -> tuple[str, int]:
    """Split an admin address into host and port.

    Raises
    ------
    OperatorError
        If the address is not `IP:PORT`.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise OperatorError(f"router address {address!r}: expected IP:PORT, such as 10.0.0.1:9100")
    return host.removeprefix("[").removesuffix("]"), int(port)


def send_request(address: str, path: str) -> AdminResponse:
    """Send a GET request to the admin port of a router and return the response.

    Raises
    ------
    OperatorError
        If the address is invalid, the request fails or the response is too long.
    """
    host, port = parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_SECONDS)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read(MAXIMUM_RESPONSE_BYTES + 1)
    except (OSError, http.client.HTTPException) as error:
        reason = str(error) or type(error).__name__
        raise OperatorError(
            f"router {address}: no response from its admin port ({reason}); check that the router is running"
        ) from None
    finally:
        connection.close()
    if len(body) > MAXIMUM_RESPONSE_BYTES:
        raise OperatorError(
            f"router {address}: response to {path} is longer than {MAXIMUM_RESPONSE_BYTES} bytes"
        )
    return AdminResponse(response.status, body)


def fetch_body(address: str, path: str) -> bytes:
    """Return the body of the response if its status is 200.

    Raises
    ------
    OperatorError
        If the request fails or the response has another status.
    """
    response = send_request(address, path)
    if response.status != STATUS_OK:
        raise OperatorError(f"router {address}: status {response.status} for {path}, expected {STATUS_OK}")
    return response.body


def fetch_configuration(address: str) -> bytes:
    """Return the configuration document that a router uses.

    Raises
    ------
    OperatorError
        If the router has none or the request fails.
    """
    response = send_request(address, "/configuration")
    if response.status == STATUS_NOT_FOUND:
        raise OperatorError(f"router {address}: no configuration yet")
    if response.status != STATUS_OK:
        raise OperatorError(f"router {address}: status {response.status} for /configuration")
    return response.body


def fetch_explanation(address: str, request_id: str) -> bytes:
    """Return a router's explanation record of a request.

    Raises
    ------
    OperatorError
        If the router has none or the request fails.
    """
    path = "/explain/" + quote(request_id, safe="")
    response = send_request(address, path)
    if response.status == STATUS_NOT_FOUND:
        raise OperatorError(
            f"request {request_id!r}: no record at router {address}; "
            "only the router that received it keeps one, for a limited number of requests"
        )
    if response.status != STATUS_OK:
        raise OperatorError(f"router {address}: status {response.status} for {path}")
    return response.body
