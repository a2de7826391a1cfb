"""Tests of the error kinds and their answers."""

from __future__ import annotations

import unittest

from sapphireledge.errors import ERROR_ANSWERS, ErrorKind, Failure, Ran


class ErrorAnswersTest(unittest.TestCase):
    """Guards against error kinds without an answer, and against ambiguous exit codes."""

    def test_every_kind_has_exactly_one_answer(self):
        self.assertEqual(set(ERROR_ANSWERS), set(ErrorKind))

    def test_exit_codes_are_distinct_and_not_success(self):
        codes = [answer.exit_code for answer in ERROR_ANSWERS.values()]
        self.assertEqual(len(codes), len(set(codes)))
        self.assertTrue(all(1 < code < 126 for code in codes))

    def test_failure_defaults_to_not_run(self):
        failure = Failure(ErrorKind.WOULD_BE_LATE, "late")
        self.assertEqual(failure.ran, Ran.NO)
        self.assertEqual(failure.answer.http_status, 429)
