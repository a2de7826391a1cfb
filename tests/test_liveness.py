"""Tests of the decision whether the engine of a silent stream is lost."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sapphireledge.core.liveness import RunSighting, SilenceLimits, StreamWatch

LIMITS = SilenceLimits()
PAUSE_TARGET = 0.7
"""Longest pause between events for which a stream is on time, in seconds."""
RESUME_TIME = 0.2
"""Seconds that a resume at a standby in another region takes."""


GIVE_UP_TIME = 3.2
"""Longest time in seconds after which the loss of a run that cannot move is noticed."""


def replay(gaps, sight, can_move=True):
    """Replays pauses between events; returns the time at which the run counts as lost, or None.

    `sight` returns what the engine reports at a time, given the number of events so far.
    """
    now, watch = 0.0, StreamWatch(LIMITS, 0.0)
    for events, gap in enumerate(gaps):
        end = now + gap
        while now + watch.check_delay(now) < end:
            now += watch.check_delay(now)
            sighting = sight(now, events)
            now += 0.05 if sighting is not None else watch.report_timeout
            if now < end and watch.find_loss(now, sighting, can_move=can_move):
                return now
        now = end
        watch.on_event(now)
    return None


class StreamWatchTest(unittest.TestCase):
    """Guards against cutting slow but sound streams, and against waiting for lost engines."""

    @given(st.lists(st.floats(0.01, 2.0), min_size=1, max_size=40))
    def test_stream_that_pauses_for_prompts_of_others_is_not_cut(self, gaps):
        """Replays pauses of up to 2 s at an engine that reports its runs."""
        self.assertIsNone(replay(gaps, lambda now, events: RunSighting(events)))

    @given(st.lists(st.floats(0.01, 0.2), min_size=2, max_size=40))
    def test_silent_engine_is_lost_early_enough_for_the_pause_target(self, gaps):
        """Replays an engine that goes down without a reset after its last event."""
        lost_at = replay([*gaps, 30.0], lambda now, events: None)
        self.assertLessEqual(lost_at - sum(gaps), PAUSE_TARGET - RESUME_TIME)

    def test_engine_that_reports_but_generates_nothing_is_lost(self):
        lost_at = replay([1.0, 60.0], lambda now, events: RunSighting(events))
        self.assertLessEqual(lost_at - 1.0, LIMITS.max_silence + LIMITS.repeat_check + 0.1)

    def test_long_prompt_is_waited_for_while_the_engine_reports(self):
        self.assertIsNone(replay([20.0], lambda now, events: RunSighting(0)))
        self.assertLess(replay([20.0], lambda now, events: None), 1.5)

    def test_events_that_do_not_arrive_and_restarts_are_losses(self):
        self.assertLess(replay([0.5, 9.0], lambda now, events: RunSighting(events + 11)), 1.0)
        self.assertLess(replay([0.5, 9.0], lambda now, events: RunSighting(events, True)), 1.0)
        self.assertLess(replay([0.5, 9.0], lambda now, events: RunSighting(None)), 1.0)

    def test_events_before_a_resume_do_not_count_as_undelivered(self):
        """An engine counts the events of a resumed run from the start of the stream."""
        watch = StreamWatch(LIMITS, 0.0, 40)
        watch.on_event(0.1)
        self.assertEqual(watch.find_loss(0.4, RunSighting(44)), "")
        self.assertIn("generated 60", watch.find_loss(0.8, RunSighting(60)))

    def test_bytes_that_complete_no_event_are_not_progress(self):
        """The watch counts complete events only, so its check stays due."""
        watch = StreamWatch(LIMITS, 0.0)
        watch.on_event(1.0)
        self.assertEqual(watch.check_delay(1.0 + LIMITS.event_check), 0.0)
        self.assertEqual(watch.find_loss(1.3, RunSighting(1)), "")
        self.assertAlmostEqual(watch.check_delay(1.4), 0.3)
        self.assertIn("no event", watch.find_loss(1.0 + LIMITS.max_silence, RunSighting(1)))


class ImmovableStreamTest(unittest.TestCase):
    """Guards against giving up a run that its engine lists, if its stream cannot be resumed."""

    @given(st.lists(st.floats(0.01, 20.0), min_size=1, max_size=20))
    def test_listed_run_is_never_given_up(self, gaps):
        self.assertIsNone(replay(gaps, lambda now, events: RunSighting(events), can_move=False))

    @given(st.lists(st.floats(0.01, 20.0), min_size=1, max_size=20))
    def test_preempted_run_that_is_not_listed_is_never_given_up(self, gaps):
        preempted = RunSighting(None, may_be_preempted=True)
        self.assertIsNone(replay(gaps, lambda now, events: preempted, can_move=False))

    @given(st.lists(st.floats(0.5, 20.0), min_size=1, max_size=20), st.integers(0, 3))
    def test_late_and_missing_reports_do_not_end_a_listed_run(self, gaps, phase):
        """Two of four reports are missing, or from before the run's last events."""
        count = phase

        def sight(now, events):
            nonlocal count
            count += 1
            return (None, RunSighting(None), RunSighting(events), RunSighting(events))[count % 4]

        self.assertIsNone(replay(gaps, sight, can_move=False))

    def test_event_that_is_still_on_its_way_is_no_loss(self):
        """The engine goes on after a pause, and its report overtakes the event."""

        def sight(now, events):
            return RunSighting(events + (now > 4.9))

        self.assertIsNone(replay([1.0, 4.0, 1.0], sight, can_move=False))

    def test_lost_run_is_given_up_in_time(self):
        sights = {
            "no report": lambda now, events: None,
            "not listed": lambda now, events: RunSighting(None),
            "many events do not arrive": lambda now, events: RunSighting(events + 99),
            "one event does not arrive": lambda now, events: RunSighting(events + 1),
            "restarted": lambda now, events: RunSighting(events, True),
        }
        for name, sight in sights.items():
            with self.subTest(name):
                lost_at = replay([1.0, 60.0], sight, can_move=False)
                self.assertLessEqual(lost_at - 1.0, GIVE_UP_TIME)
        self.assertLessEqual(replay([60.0], lambda now, events: None, can_move=False), GIVE_UP_TIME)


if __name__ == "__main__":
    unittest.main()
