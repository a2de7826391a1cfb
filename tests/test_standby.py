"""Tests of the copies of running generations: the decision without a network."""

from __future__ import annotations

import unittest
from math import inf
from random import Random

from sapphireledge.core.standby import CopyLimits, CopyRule, CopyStep, Protection

LIFETIME = 4.0
LIMITS = CopyLimits()
CENTRES = 6
ENGINES = 60


def play_losses(copies_again, seed):
    """Plays streams whose engines are lost, one data centre after the other.

    Every 3 s, nine in ten engines of the next data centre are lost and start again at once. A loss
    is known after 1 s.

    Returns:
        Streams that were moved, and those of them whose prompt was processed again.
    """
    rng = Random(seed)
    rule = CopyRule(LIMITS)
    streams, moved, again = [], 0, 0
    lost_at = [-inf] * ENGINES
    for tick in range(400):
        now = tick * 0.1
        if tick % 30 == 0:
            centre = tick // 30 % CENTRES
            for engine in range(centre, ENGINES, CENTRES):
                if rng.random() < 0.9:
                    lost_at[engine] = now
        if tick % 2 == 0:
            engine = rng.randrange(ENGINES)
            streams.append([engine, draw_other(rng, engine), now, now + 7.0, now, None, -inf])
        for stream in streams:
            engine, holder, since, ends_at, held_since, copied_at, tried_at = stream
            has_copy = holder is not None and lost_at[holder] < held_since
            has_copy = has_copy and (copied_at is None or now - copied_at < LIFETIME)
            if lost_at[engine] == now and now > since:
                moved += 1
                again += not has_copy
                engine = holder if has_copy else draw_other(rng, engine)
                stream[:] = [engine, draw_other(rng, engine), now, ends_at, now, None, -inf]
                continue
            is_held = has_copy or now - lost_at[holder] < 1.0
            protection = Protection(is_held, ends_at, copied_at=copied_at, tried_at=tried_at)
            step = rule.decide(now, protection, LIFETIME, 0)
            if copies_again and step is not CopyStep.KEEP:
                target = draw_other(rng, engine) if step is CopyStep.COPY else holder
                held_since = now if step is CopyStep.COPY else held_since
                stream[:] = [engine, target, since, ends_at, held_since, now, now]
        streams = [stream for stream in streams if stream[3] > now]
    return moved, again


def draw_other(rng, engine):
    """Draws an engine of another data centre."""
    while True:
        other = rng.randrange(ENGINES)
        if other % CENTRES != engine % CENTRES:
            return other


class LossesInTurnTest(unittest.TestCase):
    """Guards against streams that are unprotected once their standby is lost."""

    def test_data_centres_are_lost_in_turn(self):
        for seed in range(5):
            moved, before = play_losses(False, seed)
            _, after = play_losses(True, seed)
            self.assertGreater(before, 0.1 * moved)
            self.assertLess(after, 0.4 * before)


class CopyRuleTest(unittest.TestCase):
    def setUp(self):
        self.rule = CopyRule(LIMITS)

    def decide(self, now=10.0, lifetime=LIFETIME, under_way=0, **more):
        fields = {"is_held": False, "ends_at": 20.0, **more}
        return self.rule.decide(now, Protection(**fields), lifetime, under_way)

    def test_lost_copy_is_replaced(self):
        self.assertIs(self.decide(), CopyStep.COPY)
        self.assertIs(self.decide(copied_at=9.0, tried_at=9.0), CopyStep.COPY)

    def test_continuous_copy_is_left_alone(self):
        self.assertIs(self.decide(is_held=True), CopyStep.KEEP)

    def test_engines_that_do_not_copy_on_request(self):
        self.assertIs(self.decide(lifetime=0.0), CopyStep.KEEP)

    def test_copy_is_refreshed_before_it_expires(self):
        """There is time for one more attempt if a refresh fails."""
        self.assertIs(self.decide(is_held=True, copied_at=8.1, tried_at=8.1), CopyStep.KEEP)
        self.assertIs(self.decide(is_held=True, copied_at=8.0, tried_at=8.0), CopyStep.REFRESH)
        is_late = {"is_held": True, "copied_at": 7.5, "tried_at": 9.5, "failures": 1}
        self.assertIs(self.decide(**is_late), CopyStep.REFRESH)

    def test_stream_that_ends_soon_is_not_copied(self):
        self.assertIs(self.decide(ends_at=10.9), CopyStep.KEEP)
        self.assertIs(self.decide(ends_at=inf), CopyStep.COPY)

    def test_crowded_engines_take_no_further_copies(self):
        """A copy takes memory and a slot that waiting streams need; a refresh takes neither."""
        self.assertIs(self.decide(is_crowded=True), CopyStep.KEEP)
        more = {"is_held": True, "is_crowded": True, "copied_at": 8.0, "tried_at": 8.0}
        self.assertIs(self.decide(**more), CopyStep.REFRESH)

    def test_refresh_does_not_depend_on_the_expected_end(self):
        """Guards against the loss of a copy of a stream that takes longer than expected."""
        more = {"is_held": True, "ends_at": 9.0, "copied_at": 8.0, "tried_at": 8.0}
        self.assertIs(self.decide(**more), CopyStep.REFRESH)

    def test_failed_transfers_are_not_repeated_for_ever(self):
        self.assertIs(self.decide(failures=1, tried_at=9.6), CopyStep.KEEP)
        self.assertIs(self.decide(failures=1, tried_at=9.5), CopyStep.COPY)
        self.assertIs(self.decide(failures=LIMITS.most_failures), CopyStep.KEEP)

    def test_transfers_at_once_are_limited(self):
        self.assertIs(self.decide(under_way=LIMITS.most_at_once), CopyStep.KEEP)


if __name__ == "__main__":
    unittest.main()
