"""Usual time of the answers of the old version on one route."""

from __future__ import annotations

from math import floor, log2

__all__ = ["TimeReference"]

CLASSES_PER_OCTAVE = 4
"""Classes of times in each factor of 2; a class is 19% wide."""

SHORTEST_TIME = 0.001
"""Seconds below which times are not told apart."""

ENOUGH_ANSWERS = 10
"""Answers from which a median is used."""


class TimeReference:
    """Median of the times of the old version at one instance; robust against some slow servers."""

    __slots__ = ("_classes", "_number")

    def __init__(self) -> None:
        self._classes: dict[int, int] = {}
        self._number = 0

    def add(self, seconds: float) -> None:
        """Adds an answer.

        Args:
            seconds: Its time in seconds.
        """
        time_class = floor(CLASSES_PER_OCTAVE * log2(max(seconds, SHORTEST_TIME)))
        self._classes[time_class] = self._classes.get(time_class, 0) + 1
        self._number += 1

    def median(self) -> float | None:
        """Estimates the median.

        Returns:
            The median in seconds, None while there are too few answers.
        """
        if self._number < ENOUGH_ANSWERS:
            return None
        ahead = 0
        for time_class in sorted(self._classes):
            ahead += self._classes[time_class]
            if 2 * ahead >= self._number:
                return 2.0 ** ((time_class + 0.5) / CLASSES_PER_OCTAVE)
        return None
