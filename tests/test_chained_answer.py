"""Tests of the check of chained answers."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sapphireledge_standins.chained_answer import TokenChain, check_chained_answer


def make_tokens(nonce: str, count: int, prompt: str = "p") -> list[str]:
    chain = TokenChain(nonce, prompt)
    return [chain.next_token(offset == count - 1) for offset in range(count)]


class ChainedAnswerTest(unittest.TestCase):
    """Guards against a check that misses a fault in an answer."""

    @given(st.integers(1, 30))
    def test_full_answer_is_complete(self, count):
        report = check_chained_answer("".join(make_tokens("a", count)), "p")
        self.assertTrue(report.complete)
        self.assertEqual((report.tokens, report.nonces), (count, ("a",)))

    @given(st.integers(1, 20), st.data())
    def test_resume_at_any_offset_is_complete(self, count, data):
        tokens = make_tokens("a", count)
        offset = data.draw(st.integers(1, count))
        text = "".join(tokens[:offset])
        chain = TokenChain("b", "p", offset, text)
        rest = [chain.next_token(n == count) for n in range(offset, count + 1)]
        if offset < count:
            self.assertTrue(check_chained_answer(text + "".join(rest), "p").complete)
        else:
            # The first attempt had already completed the answer, so further tokens are a fault.
            self.assertFalse(check_chained_answer(text + "".join(rest), "p").intact)

    @given(st.integers(2, 20), st.data())
    def test_missing_token_is_detected(self, count, data):
        tokens = make_tokens("a", count)
        del tokens[data.draw(st.integers(0, count - 1))]
        self.assertFalse(check_chained_answer("".join(tokens)).complete)

    @given(st.integers(1, 20), st.data())
    def test_repeated_token_is_detected(self, count, data):
        tokens = make_tokens("a", count)
        index = data.draw(st.integers(0, count - 1))
        tokens.insert(index, tokens[index])
        self.assertFalse(check_chained_answer("".join(tokens)).intact)

    @given(st.integers(2, 20), st.data())
    def test_token_of_another_generation_is_detected(self, count, data):
        tokens = make_tokens("a", count)
        index = data.draw(st.integers(0, count - 1))
        tokens[index] = make_tokens("b", count)[index]
        self.assertFalse(check_chained_answer("".join(tokens), "p").intact)

    @given(st.integers(2, 20), st.data())
    def test_tail_of_another_generation_is_detected(self, count, data):
        index = data.draw(st.integers(1, count - 1))
        mixed = make_tokens("a", count)[:index] + make_tokens("b", count)[index:]
        self.assertFalse(check_chained_answer("".join(mixed)).intact)

    @given(st.integers(1, 10), st.data())
    def test_changed_character_is_detected(self, count, data):
        text = "".join(make_tokens("a", count))
        index = data.draw(st.integers(0, len(text) - 1))
        other = data.draw(st.sampled_from([c for c in "0a: .x\u2028" if c != text[index]]))
        report = check_chained_answer(text[:index] + other + text[index + 1 :], "p")
        # No later hash covers the nonce of the last token; changes there go undetected.
        last = text.rindex(":", 0, text.rindex(":")) if count > 1 else text.index(":")
        covered = not (last < index < text.rindex(":"))
        self.assertTrue(not report.complete or not covered)

    def test_truncated_answer_is_not_complete(self):
        text = "".join(make_tokens("a", 5)[:-1])
        report = check_chained_answer(text, "p")
        self.assertEqual((report.intact, report.complete), (True, False))

    def test_answer_to_another_prompt_is_detected(self):
        text = "".join(make_tokens("a", 3, "mine"))
        self.assertTrue(check_chained_answer(text, "mine").complete)
        self.assertFalse(check_chained_answer(text, "other").intact)
