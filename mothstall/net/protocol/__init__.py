"""Parses and encodes the proxy's messages: requests, responses, endpoint lists, load reports.

Pure: no sockets, no clock.
"""

from mothstall.net.errors import UnreadableMessageError
from mothstall.net.protocol.durations import format_duration, parse_duration_ns
from mothstall.net.protocol.endpoint_list import (
    ListedEndpoint,
    ParsedUpdate,
    backend_number,
    parse_endpoint_list,
)
from mothstall.net.protocol.headers import (
    ENDPOINT_LIST_PATH,
    HEALTH_PATH,
    LAST_CHUNK,
    LOAD_HEADER,
    LOAD_PATH,
    encode_chunk,
)
from mothstall.net.protocol.load_reports import parse_load_report
from mothstall.net.protocol.requests import (
    MAX_BUFFERED_BODY_BYTES,
    ClientRequest,
    WaitingClient,
    encode_request,
    parse_request,
)
from mothstall.net.protocol.responses import (
    BackendResponse,
    attempt_result,
    encode_response,
    encode_response_head,
    forwarded_headers,
    retry_after_header,
)

__all__ = [
    "ENDPOINT_LIST_PATH",
    "HEALTH_PATH",
    "LAST_CHUNK",
    "LOAD_HEADER",
    "LOAD_PATH",
    "MAX_BUFFERED_BODY_BYTES",
    "BackendResponse",
    "ClientRequest",
    "ListedEndpoint",
    "ParsedUpdate",
    "UnreadableMessageError",
    "WaitingClient",
    "attempt_result",
    "backend_number",
    "encode_chunk",
    "encode_request",
    "encode_response",
    "encode_response_head",
    "format_duration",
    "forwarded_headers",
    "parse_duration_ns",
    "parse_endpoint_list",
    "parse_load_report",
    "parse_request",
    "retry_after_header",
]
