"""Crowd of callers that do not keep to the limits.

A manner is a coroutine function that takes a connected socket and a target. It may end, fail or
never end; the socket stays open until the crowd is closed.
"""

from __future__ import annotations

import asyncio
import itertools
import socket

import msgspec
import uuid6

KEY_FIELD = b"authorization: Token k1"
HOST_FIELD = b"host: svc.example\r\n"
LEGAL_BODY = 4_194_304
MEBIBYTE = 1_048_576
HEAD_FIELD_BYTES = 15_000
SHORT_FIELDS = b"a:\r\n" * (HEAD_FIELD_BYTES // 4)
MISSING = 5
"""Bytes by which incomplete bodies stop short."""

PIECE = 16_384
READ_WINDOW = 4_096
"""Receive buffer in bytes of callers that never read."""

_request_ids = itertools.count(1)


class Crowd:
    """Open connections of one crowd."""

    def __init__(self, address):
        self._address = address
        self._sockets = []
        self._tasks = set()

    async def act(self, manner, count, target, seconds):
        """Opens `count` connections with a manner, and waits until all end or the time is over."""
        for _ in range(count):
            self._tasks.add(asyncio.create_task(self._act_one(manner, target)))
        await asyncio.wait(self._tasks, timeout=seconds)

    async def close(self):
        """Ends the manners and resets the connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _act_one(self, manner, target):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_WINDOW)
        self._sockets.append(sock)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            await manner(sock, target)
        except OSError:
            # The process refused the connection or closed it, as it may.
            pass


async def send(sock, data):
    await asyncio.get_running_loop().sock_sendall(sock, data)


def head(target, *fields, method=b"POST"):
    """Builds a request head without its final blank line."""
    request_id = b"x-sapphireledge-request-id: c%d" % next(_request_ids)
    lines = b"".join(field + b"\r\n" for field in (KEY_FIELD, request_id, *fields))
    return method + b" " + target + b" HTTP/1.1\r\n" + HOST_FIELD + lines


async def body_in_one_piece(sock, target):
    await send(sock, head(target, b"content-length: %d" % LEGAL_BODY) + b"\r\n")
    await send(sock, bytes(LEGAL_BODY - MISSING))


async def body_in_small_pieces(sock, target):
    await send(sock, head(target, b"content-length: %d" % LEGAL_BODY) + b"\r\n")
    for _ in range(LEGAL_BODY // PIECE - 1):
        await send(sock, bytes(PIECE))
        await asyncio.sleep(0)
    await send(sock, bytes(PIECE - MISSING))


async def body_in_chunks(sock, target):
    await send(sock, head(target, b"transfer-encoding: chunked") + b"\r\n")
    chunk = b"%x\r\n" % PIECE + bytes(PIECE) + b"\r\n"
    for _ in range(LEGAL_BODY // PIECE - 1):
        await send(sock, chunk)
        await asyncio.sleep(0)
    await send(sock, chunk[:-MISSING])


# The daemon permits bodies of a mebibyte.


def new_key():
    """Returns a new idempotency key."""
    return str(uuid6.uuid7()).encode()


def keyed_head(target, *fields):
    return head(target, b"idempotency-key: " + new_key(), *fields) + b"\r\n"


async def mebibyte_in_one_piece(sock, target):
    await send(sock, keyed_head(target, b"content-length: %d" % MEBIBYTE))
    await send(sock, bytes(MEBIBYTE - MISSING))


async def mebibyte_in_small_pieces(sock, target):
    await send(sock, keyed_head(target, b"content-length: %d" % MEBIBYTE))
    for _ in range(MEBIBYTE // PIECE - 1):
        await send(sock, bytes(PIECE))
        await asyncio.sleep(0)
    await send(sock, bytes(PIECE - MISSING))


async def mebibyte_in_chunks(sock, target):
    await send(sock, keyed_head(target, b"transfer-encoding: chunked"))
    chunk = b"%x\r\n" % PIECE + bytes(PIECE) + b"\r\n"
    for _ in range(MEBIBYTE // PIECE - 1):
        await send(sock, chunk)
        await asyncio.sleep(0)
    await send(sock, chunk[:-MISSING])


def generation_of_short_fields(target, model):
    """Builds a whole generation request of a mebibyte with very many short fields."""
    fields = ",".join(f'"{number:x}":{{}}' for number in range(95_000))
    body = f'{{"model":"{model}","prompt":"x","max_tokens":1,{fields}}}'.encode()
    return head(target, b"content-length: %d" % len(body)) + b"\r\n" + body


async def json_of_short_fields(sock, target):
    await send(sock, generation_of_short_fields(target, "m"))


async def json_of_short_fields_and_leave(sock, target):
    """Sends a request some time after the one before, and leaves a little later."""
    await asyncio.sleep(0.1 * (next(_request_ids) % 20))
    await send(sock, generation_of_short_fields(target, "m"))
    await asyncio.sleep(0.3)
    sock.close()


async def body_over_the_limit(sock, target):
    await send(sock, head(target, b"content-length: %d" % (100 * LEGAL_BODY)) + b"\r\n")
    for _ in range(3):
        await send(sock, bytes(LEGAL_BODY))


async def whole_head_of_short_fields(sock, target):
    await send(sock, head(target, method=b"GET") + SHORT_FIELDS + b"\r\n")


async def keyed_request_of_short_fields(sock, target):
    await send(sock, head(target) + SHORT_FIELDS)
    await send(sock, b"content-length: 0\r\n\r\n")


async def short_fields_and_a_body_that_stops(sock, target):
    await send(sock, head(target, b"content-length: 10") + SHORT_FIELDS + b"\r\n123456789")


async def head_that_stops(sock, target):
    await send(sock, head(target) + SHORT_FIELDS)


async def requests_sent_ahead(sock, target):
    request = head(target, method=b"GET") + b"\r\n"
    await send(sock, request * (400_000 // len(request)))


async def slow_head(sock, target):
    for byte in head(target) * 100:
        await send(sock, bytes((byte,)))
        await asyncio.sleep(0.05)


async def slow_body(sock, target):
    await send(sock, head(target, b"content-length: %d" % LEGAL_BODY) + b"\r\n" + bytes(PIECE))
    while True:
        await send(sock, b"x")
        await asyncio.sleep(0.05)


async def half_a_line(sock, target):
    await send(sock, b"POST " + target[:3])


async def answer_never_read(sock, target):
    """Asks for an answer of megabytes where there is one, otherwise for many small ones."""
    request = head(target, method=b"GET") + b"\r\n"
    await send(sock, request if b"large" in target else request * 2_000)


async def answer_read_slowly(sock, target):
    await answer_never_read(sock, target)
    while True:
        await asyncio.get_running_loop().sock_recv(sock, 16)
        await asyncio.sleep(0.05)


async def idle(sock, target):
    pass


# Manners at the address for followers, whose messages have a length of four bytes before them.

FOLLOWER_MESSAGE_BYTES = 65_536


def follower_message(value):
    data = msgspec.msgpack.encode(value)
    return len(data).to_bytes(4, "big") + data


async def message_that_stops(sock, target):
    await send(sock, FOLLOWER_MESSAGE_BYTES.to_bytes(4, "big"))
    await send(sock, bytes(FOLLOWER_MESSAGE_BYTES - MISSING))


async def message_over_the_limit(sock, target):
    await send(sock, b"\x7f\xff\xff\xff" + bytes(LEGAL_BODY))


async def message_of_short_fields(sock, target):
    revisions = {f"{number:x}": None for number in range(12_000)}
    await send(sock, follower_message({"revisions": revisions}))


async def half_a_length(sock, target):
    await send(sock, b"\x00\x00")


async def messages_sent_ahead(sock, target):
    await send(sock, follower_message({"revisions": {}, "at_once": True}) * 2_000)


async def slow_message(sock, target):
    for byte in follower_message({"revisions": {}}) * 100:
        await send(sock, bytes((byte,)))
        await asyncio.sleep(0.05)
