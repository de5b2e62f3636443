"""Responses whose head or framing is malformed: no client may get what is read out of them."""

from __future__ import annotations

import asyncio

import pytest

from mothstall.interface import AttemptResult
from tests.peers import (
    ReceivedRequest,
    respond_ok,
    respond_with,
    rig,
    start_backend_rig,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SIZED = b"Content-Length: 2\r\n\r\nok"
# Each is closed behind its last byte, so that nothing is merely incomplete.
MALFORMED: dict[str, bytes] = {
    "chunk size one too large": CHUNKED + b"3\r\nok\r\n0\r\n\r\n",
    "chunk size one too small": CHUNKED + b"1\r\nok\r\n0\r\n\r\n",
    "chunk size two too large": CHUNKED + b"4\r\nok\r\n0\r\n\r\n",
    "chunk size line ends in a bare LF": CHUNKED + b"2\nok\r\n0\r\n\r\n",
    "chunk data ends in a bare LF": CHUNKED + b"2\r\nok\n0\r\n\r\n",
    "last chunk ends in a bare LF": CHUNKED + b"2\r\nok\r\n0\n\r\n",
    "blank line behind the chunks is a bare LF": CHUNKED + b"2\r\nok\r\n0\r\n\n",
    "chunk size behind a space": CHUNKED + b" 2\r\nok\r\n0\r\n\r\n",
    "chunk size in a CR": CHUNKED + b"2\r;x\r\nok\r\n0\r\n\r\n",
    "chunk size with a sign": CHUNKED + b"+2\r\nok\r\n0\r\n\r\n",
    "chunk size with a prefix": CHUNKED + b"0x2\r\nok\r\n0\r\n\r\n",
    "trailer that is no field": CHUNKED + b"2\r\nok\r\n0\r\nnoise\r\n\r\n",
    "trailer that ends in a bare LF": CHUNKED + b"2\r\nok\r\n0\r\nx: 1\n\r\n",
    "head in bare LF": b"HTTP/1.1 200 OK\nContent-Type: a\n\na\r\n\r\nb",
    "head in bare LF with a length": b"HTTP/1.1 200 OK\nContent-Length: 8\n\na\r\n\r\nbcd",
    "head that ends in two LF": b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\n\na\r\n\r\nbcd",
    "status line in a bare LF": b"HTTP/1.1 200 OK\n" + SIZED,
    "field that ends in a bare LF": OK + b"X-A: b\n" + SIZED,
    "field with a bare CR": OK + b"X-A: b\rX-B: c\r\n" + SIZED,
    "field with a NUL": OK + b"X-A: b\0\r\n" + SIZED,
    "field without a colon": OK + b"X-A\r\n" + SIZED,
    "field with a space before its colon": OK + b"X-A : b\r\n" + SIZED,
    "field without a name": OK + b": b\r\n" + SIZED,
    "field that is continued": OK + b"X-A: b\r\n c\r\n" + SIZED,
    "field that is continued from the status line": OK + b" c\r\n" + SIZED,
    "two lengths": OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
    "two equal lengths": OK + b"Content-Length: 2\r\n" + SIZED,
    "lengths in a list": OK + b"Content-Length: 2, 2\r\n\r\nok",
    "length with a sign": OK + b"Content-Length: +2\r\n\r\nok",
    "length behind an underscore": OK + b"Content-Length: 1_0\r\n\r\nok",
    "length and chunks": OK
    + b"Content-Length: 2\r\n"
    + CHUNKED[len(OK) :]
    + b"2\r\nok\r\n0\r\n\r\n",
    "length that is too large": OK + b"Content-Length: 3\r\n\r\nok",
    "unknown transfer coding": OK + b"Transfer-Encoding: gzip\r\n\r\nok",
    "coding before the chunks": OK
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "coding before the chunks in two fields": OK
    + b"Transfer-Encoding: gzip\r\n"
    + CHUNKED[len(OK) :]
    + b"2\r\nok\r\n0\r\n\r\n",
    "chunks twice": OK + b"Transfer-Encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "status of two digits": b"HTTP/1.1 20 OK\r\n" + SIZED,
    "status of four digits": b"HTTP/1.1 2000 OK\r\n" + SIZED,
    "status behind two spaces": b"HTTP/1.1  200 OK\r\n" + SIZED,
    "version of two digits": b"HTTP/1.11 200 OK\r\n" + SIZED,
}
WELL_FORMED: dict[str, bytes] = {
    "no reason phrase": b"HTTP/1.1 200 \r\n" + SIZED,
    "no space behind the status": b"HTTP/1.1 200\r\n" + SIZED,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + SIZED,
    "empty field": OK + b"X-A:\r\n" + SIZED,
    "tabs round a value": OK + b"X-A:\tb\t\r\n" + SIZED,
    "value beyond ASCII": OK + b"X-A: caf\xc3\xa9\r\n" + SIZED,
    "chunks": CHUNKED + b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    "chunk extensions": CHUNKED + b'2;a=1;b="c d"\r\nok\r\n0;z\r\n\r\n',
    "spaces behind a chunk size": CHUNKED + b"2  \r\nok\r\n0\r\n\r\n",
    "zeros ahead of chunk sizes": CHUNKED + b"0002\r\nok\r\n000\r\n\r\n",
    "trailers": CHUNKED + b"2\r\nok\r\n0\r\nX-Sum: 1\r\nX-B:\r\n\r\n",
    "coding in capitals": OK + b"Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "interim response": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK + SIZED,
    "until close": OK + b"\r\nok",
}


async def attempt_with(raw: bytes, piece_bytes: int) -> tuple[AttemptResult, bytes | None]:
    """Return the result of an attempt that is answered with `raw`, and the body that was read."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        for start in range(0, len(raw), piece_bytes):
            writer.write(raw[start : start + piece_bytes])
            await writer.drain()
            if piece_bytes < len(raw):
                await asyncio.sleep(0)
        writer.close()

    stand_in, backend_rig = await start_backend_rig(behave, connect_ms=5000)
    backend_rig.send(within_ms=2000)
    [result] = await backend_rig.wait_for_results()
    response = backend_rig.reports[0].response
    backend_rig.pool.close()
    await stand_in.stop()
    return result, response.body if response else None


@pytest.mark.parametrize("piece_bytes", [1, 65536])
@pytest.mark.parametrize("form", MALFORMED)
def test_a_malformed_response_is_a_failed_attempt(form: str, piece_bytes: int) -> None:
    """Guards against a body that no backend made, served as a sound response."""
    result, body = asyncio.run(attempt_with(MALFORMED[form], piece_bytes))
    assert body is None
    assert result in (AttemptResult.ERROR, AttemptResult.RESET)


@pytest.mark.parametrize("piece_bytes", [1, 65536])
@pytest.mark.parametrize("form", WELL_FORMED)
def test_a_well_formed_response_is_read_unchanged(form: str, piece_bytes: int) -> None:
    assert asyncio.run(attempt_with(WELL_FORMED[form], piece_bytes)) == (AttemptResult.OK, b"ok")


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 2\r\n\r\nok", CHUNKED[len(OK) :] + b"2\r\nok\r\n"]
)
def test_a_body_of_a_status_without_one_fails_the_attempt_alone(
    status: int, framing: bytes
) -> None:
    """Guards against an exception out of the reader, which counts as a fault of the proxy."""

    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(
            respond_with(b"HTTP/1.1 %d X\r\n" % status + framing)
        )
        backend_rig.loop.set_exception_handler(lambda _, context: faults.append(context))
        faults: list[object] = []
        backend_rig.send(within_ms=2000)
        assert await backend_rig.wait_for_results() == [AttemptResult.ERROR]
        assert not faults
        assert not backend_rig.pool.open_count  # what follows belongs to no response
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("form", ["chunk size one too large", "head in bare LF"])
def test_a_client_gets_the_body_that_a_backend_made(form: str) -> None:
    """Half of the responses are spoilt; the client gets another attempt's, or a failure."""

    async def run() -> None:
        async with rig(respond_with(MALFORMED[form], then_close=True), respond_ok) as r:
            for number in range(12):
                reply = await r.request(X_Txn=f"t-{number}")
                assert reply.status in (200, 502, 503, 504)
                assert reply.status != 200 or reply.body == b"served t-%d" % number

    asyncio.run(run())


@pytest.mark.parametrize("chunk_count", [3, 1_000, 15_000, 60_000])
def test_a_response_in_chunks_of_one_byte_is_read_unchanged(chunk_count: int) -> None:
    """Guards against aiohttp's parser, which pauses at a number of chunks, whatever their size."""
    body = bytes(number % 251 for number in range(chunk_count))
    raw = CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    assert asyncio.run(attempt_with(raw, 65536)) == (AttemptResult.OK, body)
