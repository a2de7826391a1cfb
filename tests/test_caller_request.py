"""Tests of the checks at the caller interface."""

from __future__ import annotations

import hashlib
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sapphireledge.core.declarations import Workspace
from sapphireledge.entry.answer_format import AnswerFormat, encode_failure
from sapphireledge.entry.authenticate import authenticate, authorize_rank
from sapphireledge.entry.caller_request import CallerRequest
from sapphireledge.entry.parse_request import parse_request
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.settings import CallerSettings

CFG = CallerSettings()
BODY = {"model": "drafter", "messages": [{"role": "user", "content": "hello"}]}


def parse(body, headers=None):
    return parse_request(headers or {}, msgspec.json.encode(body), True, "w", CFG)


class ParseRequestTest(unittest.TestCase):
    """Guards against bad input that is accepted or refused without naming the field."""

    def test_plain_client_works_without_headers(self):
        req = parse(BODY)
        self.assertIsInstance(req, CallerRequest)
        self.assertEqual((req.rank, req.stream, req.resume), ("standard", False, None))

    def test_each_wrong_field_is_named(self):
        cases = [
            ({"messages": BODY["messages"]}, {}, "model"),
            ({"model": "m"}, {}, "messages"),
            ({**BODY, "messages": [{"content": "x"}]}, {}, "messages.0.role"),
            ({**BODY, "max_tokens": 0}, {}, "max_tokens"),
            ({**BODY, "max_tokens": True}, {}, "max_tokens"),
            ({**BODY, "stream": "yes"}, {}, "stream"),
            ({**BODY, "n": 2}, {}, "n:"),
            ({**BODY, "sapphireledge": 3}, {}, "sapphireledge"),
            (BODY, {"x-request-id": "a b"}, "X-Request-Id"),
            (BODY, {"x-deadline-ms": "-1"}, "X-Deadline-Ms"),
            (BODY, {"last-event-id": "7", "x-request-id": "a"}, "Last-Event-ID"),
            (BODY, {"last-event-id": "7.ab"}, "X-Request-Id"),
            ({**BODY, "sapphireledge": {"received": "x"}}, {}, "received"),
        ]
        for body, headers, field in cases:
            failure = parse(body, headers)
            self.assertIsInstance(failure, Failure, field)
            self.assertEqual(failure.kind, ErrorKind.INVALID_REQUEST)
            self.assertIn(field, failure.reason)

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_request_or_a_named_failure(self, data):
        result = parse_request({}, data, True, "w", CFG)
        self.assertIsInstance(result, (CallerRequest, Failure))


class AuthenticateTest(unittest.TestCase):
    """Guards against the use of a workspace without its token."""

    def setUp(self):
        digest = hashlib.sha256(b"secret").hexdigest()
        self.workspaces = {
            "default": Workspace(name="default"),
            "closed": Workspace(name="closed", token_hashes=(digest,), ranks=("standard",)),
        }
        self.token_owners = {digest: "closed"}

    def check(self, headers, cfg=CFG):
        result = authenticate(headers, self.workspaces, self.token_owners, cfg)
        return result.kind if isinstance(result, Failure) else result.name

    def test_token_decides_the_workspace(self):
        token = {"authorization": "Bearer secret"}
        self.assertEqual(self.check(token), "closed")
        self.assertEqual(self.check({**token, "x-workspace": "default"}), ErrorKind.FORBIDDEN)

    def test_workspace_with_tokens_needs_one(self):
        self.assertEqual(self.check({"x-workspace": "closed"}), ErrorKind.UNAUTHENTICATED)
        wrong = {"x-workspace": "closed", "authorization": "Bearer wrong"}
        self.assertEqual(self.check(wrong), ErrorKind.UNAUTHENTICATED)

    def test_required_token(self):
        cfg = CallerSettings(require_token=True)
        self.assertEqual(self.check({}, cfg), ErrorKind.UNAUTHENTICATED)
        wrong = {"authorization": "Bearer wrong"}
        self.assertEqual(self.check(wrong, cfg), ErrorKind.UNAUTHENTICATED)

    def test_unknown_workspace_and_forbidden_rank(self):
        self.assertEqual(self.check({"x-workspace": "nobody"}), ErrorKind.UNKNOWN_WORKSPACE)
        failure = authorize_rank(self.workspaces["closed"], "urgent")
        self.assertEqual(failure.kind, ErrorKind.FORBIDDEN)
        self.assertIsNone(authorize_rank(self.workspaces["default"], "urgent"))


class AnswerFormatTest(unittest.TestCase):
    """Guards against events that a common client cannot read."""

    def test_chat_events(self):
        answer = AnswerFormat(parse(BODY), 1.0)
        lines = answer.piece("1.ab", 'a"\n').decode().split("\n")
        self.assertEqual(lines[0], "id: 1.ab")
        chunk = msgspec.json.decode(lines[1].removeprefix("data: "))
        self.assertEqual(chunk["choices"][0]["delta"], {"content": 'a"\n'})
        self.assertTrue(answer.finish("stop").endswith(b"data: [DONE]\n\n"))

    def test_failure_tells_what_ran(self):
        failure = Failure(ErrorKind.OVERLOADED, "full", retry_after=1.25)
        error = msgspec.json.decode(encode_failure(failure, 3))["error"]
        self.assertEqual((error["ran"], error["delivered"], error["retry_after"]), ("no", 3, 1.25))
