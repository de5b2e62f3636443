"""Names of headers and paths, and the sets of headers that are not forwarded."""

from __future__ import annotations

REQUEST_ID_HEADER = b"x-txn"
CLASS_HEADER = b"x-lane"
TENANT_HEADER = b"x-org"
REMAINING_HEADER = b"x-remaining"
RETRY_HEADER = b"x-resent"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
LABELS_HEADER = b"x-labels"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
REJECTED_HEADER = "X-Turned-Away"
LOAD_HEADER = "X-Pressure"

HEALTH_PATH = "/health"
LOAD_PATH = "/status/load"
ENDPOINT_LIST_PATH = "/v1/endpoints"

# A request that repeats one of these is malformed.
UNIQUE_HEADERS = frozenset(
    (
        REQUEST_ID_HEADER,
        CLASS_HEADER,
        TENANT_HEADER,
        REMAINING_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        CONTENT_LENGTH,
        TRANSFER_ENCODING,
    )
)

# Headers that apply to one connection only, and headers that the proxy generates anew.
HOP_BY_HOP_HEADERS = frozenset(
    (
        CONNECTION,
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        TRANSFER_ENCODING,
        b"upgrade",
        b"expect",
        CONTENT_LENGTH,
        REMAINING_HEADER,
    )
)
# Headers of a backend's response that are not forwarded; some are meant for the proxy itself.
BACKEND_ONLY_HEADERS = HOP_BY_HOP_HEADERS | {b"x-pressure", b"x-turned-away", b"server"}

CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def connection_headers(value: bytes) -> set[bytes]:
    """Return the hop-by-hop headers that `Connection` lists, except headers with ids."""
    names = {name.strip().lower() for name in value.split(b",")}
    return names - {REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER}


def framing_header(length: int | None) -> bytes:
    """Return the header that frames a body: its length, or chunks if that is unknown."""
    return CHUNKED if length is None else b"Content-Length: %d\r\n" % length


def encode_chunk(data: bytes) -> bytes:
    """Return data as one chunk of the chunked coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)
