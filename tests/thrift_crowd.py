"""Manners of a crowd at the Thrift addresses; see caller_crowd.

The target says which service the crowd speaks to: b"peer" or b"operator".
"""

from __future__ import annotations

import asyncio

from caller_crowd import LEGAL_BODY, MISSING, send
from daemon_crowd_case import encode_call, operator_hello, peer_hello

from sapphireledge.operator.messages import OperatorService
from sapphireledge.peers.messages import PeerService

HELLO_BYTES = 15_000
"""Length that an incomplete hello announces for its first field, within the limit of a hello."""

MESSAGE_BYTES = 4_000_000
"""Length that an incomplete call announces for its field, within the limit of a message."""


def hello(target):
    return peer_hello() if target == b"peer" else operator_hello()


def call(target, text):
    """Encodes a call with a text that the service does not know."""
    if target == b"peer":
        return encode_call("find_answer", PeerService.find_answer_args(text), 2)
    return encode_call("replay", OperatorService.replay_args(text), 2)


async def hello_that_stops(sock, target):
    """Sends a method name that announces most of a hello and stops short."""
    await send(sock, b"\x80\x01\x00\x01" + HELLO_BYTES.to_bytes(4, "big"))
    await send(sock, bytes(HELLO_BYTES - MISSING))


async def hello_over_the_limit(sock, target):
    await send(sock, b"\x80\x01\x00\x01\x7f\xff\xff\xff" + bytes(LEGAL_BODY))


async def message_that_stops(sock, target):
    await send(sock, hello(target) + call(target, "x" * MESSAGE_BYTES)[:-MISSING])


async def slow_hello(sock, target):
    for byte in hello(target)[:-1]:
        await send(sock, bytes((byte,)))
        await asyncio.sleep(0.05)


async def calls_sent_ahead(sock, target):
    await send(sock, hello(target) + call(target, "x" * 1_000) * 400)
