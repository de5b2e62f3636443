"""Checks the syntax of response heads.

aiohttp's parser of responses is lenient and cannot be made strict: it takes a bare LF for the end
of a line. It then finds the end of a head in another place than a strict recipient, so that a part
of the body is lost, or a part of the head is taken for the body.
"""

from __future__ import annotations

import re

from mothstall.net.errors import UnreadableMessageError

# RFC 9112, section 4: the reason phrase may be absent, and the space before it with it.
_STATUS_LINE = rb"HTTP/1\.[01] [1-9][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
# RFC 9110, section 5: a token, a colon, and a value without control characters. A line that begins
# with a space would continue the one before it; RFC 9112, section 5.2, lets a proxy reject that.
_FIELD_LINE = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n"
_HEAD = re.compile(_STATUS_LINE + b"(?:" + _FIELD_LINE + b")*\r\n")
_TRAILER = re.compile(_FIELD_LINE)
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")


def check_response_head(head: bytes) -> None:
    """Check the syntax of a complete head: status line, fields and the blank line.

    Raises:
        UnreadableMessageError: The head is malformed.
    """
    if _HEAD.fullmatch(head) is None:
        raise UnreadableMessageError("malformed response head")


def is_field_line(line: bytes) -> bool:
    """Return whether a line, with its line end, is a well-formed field."""
    return _TRAILER.fullmatch(line) is not None


def has_bare_line_feed(partial_head: bytes) -> bool:
    """Return whether a head, perhaps an incomplete one, has an LF without its CR."""
    return _BARE_LINE_FEED.search(partial_head) is not None
