"""Tests of request validation, authentication and response encoding for callers."""

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
    """Guards against accepting invalid input or rejecting it without naming the field."""

    def test_request_without_headers_uses_defaults(self):
        req = parse(BODY)
        self.assertIsInstance(req, CallerRequest)
        self.assertEqual((req.rank, req.stream, req.resume), ("standard", False, None))

    def test_failure_names_the_invalid_field(self):
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
    """Guards against access to a workspace without its token."""

    def setUp(self):
        digest = hashlib.sha256(b"secret").hexdigest()
        self.workspaces = {
            "default": Workspace(name="default"),
            "closed": Workspace(name="closed", token_hashes=(digest,), ranks=("standard",)),
        }
        self.token_owners = {digest: "closed"}

    def authenticate(self, headers, cfg=CFG):
        result = authenticate(headers, self.workspaces, self.token_owners, cfg)
        return result.kind if isinstance(result, Failure) else result.name

    def test_token_determines_the_workspace(self):
        token = {"authorization": "Bearer secret"}
        self.assertEqual(self.authenticate(token), "closed")
        self.assertEqual(
            self.authenticate({**token, "x-workspace": "default"}), ErrorKind.FORBIDDEN
        )

    def test_workspace_with_tokens_requires_one(self):
        self.assertEqual(self.authenticate({"x-workspace": "closed"}), ErrorKind.UNAUTHENTICATED)
        wrong = {"x-workspace": "closed", "authorization": "Bearer wrong"}
        self.assertEqual(self.authenticate(wrong), ErrorKind.UNAUTHENTICATED)

    def test_token_required_by_the_settings(self):
        cfg = CallerSettings(require_token=True)
        self.assertEqual(self.authenticate({}, cfg), ErrorKind.UNAUTHENTICATED)
        wrong = {"authorization": "Bearer wrong"}
        self.assertEqual(self.authenticate(wrong, cfg), ErrorKind.UNAUTHENTICATED)

    def test_unknown_workspace_and_forbidden_rank(self):
        self.assertEqual(self.authenticate({"x-workspace": "nobody"}), ErrorKind.UNKNOWN_WORKSPACE)
        failure = authorize_rank(self.workspaces["closed"], "urgent")
        self.assertEqual(failure.kind, ErrorKind.FORBIDDEN)
        self.assertIsNone(authorize_rank(self.workspaces["default"], "urgent"))


class AnswerFormatTest(unittest.TestCase):
    """Guards against events that standard clients cannot parse."""

    def test_chat_events(self):
        answer = AnswerFormat(parse(BODY), 1.0)
        lines = answer.encode_piece("1.ab", 'a"\n').decode().split("\n")
        self.assertEqual(lines[0], "id: 1.ab")
        chunk = msgspec.json.decode(lines[1].removeprefix("data: "))
        self.assertEqual(chunk["choices"][0]["delta"], {"content": 'a"\n'})
        self.assertTrue(answer.encode_finish("stop").endswith(b"data: [DONE]\n\n"))

    def test_failure_states_whether_the_request_ran(self):
        failure = Failure(ErrorKind.OVERLOADED, "full", retry_after=1.25)
        error = msgspec.json.decode(encode_failure(failure, 3))["error"]
        self.assertEqual((error["ran"], error["delivered"], error["retry_after"]), ("no", 3, 1.25))
