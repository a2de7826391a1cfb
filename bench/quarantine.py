"""Cost of the quarantine's decisions: python -m bench.quarantine."""

from __future__ import annotations

import time
from random import Random

from sapphireledge.core.quarantine import DeathRecord, Quarantine
from sapphireledge.gateway import QuarantineSettings

START = 1_000_000.0
"""Unix time of the first death in seconds."""

JUDGED = 1_000
"""Requests that are judged in a row."""


def build_storm(deaths: int, seconds: float) -> Quarantine:
    """Engines die of a part, under two repetitions of each request, beside sound requests."""
    quarantine = Quarantine(QuarantineSettings())
    for i in range(deaths):
        now = START + seconds * i / deaths
        begun = {f"r{i // 2}": ("p", "bad"), f"s{i}": ("p", f"m{i % 30}")}
        suspects = tuple(sorted(begun))
        quarantine.on_engine_death(now, DeathRecord(f"e{i}", "b", now, suspects, begun=begun))
        if i % 3 == 0:
            quarantine.on_survived(now, ("p", f"m{i % 30}"))
    return quarantine


def build_losses(waves: int, engines: int, seed: int = 1) -> Quarantine:
    """Many engines die at once, some of which had just begun to answer, and parts survive."""
    rng = Random(seed)
    quarantine = Quarantine(QuarantineSettings())
    for wave in range(waves):
        for i in range(engines):
            now = START + 4.0 * wave + 0.2 * rng.random()
            names = tuple(f"r{wave}-{i}-{j}" for j in range(5))
            begun = {names[0]: ("p", f"m{rng.randrange(40)}")} if rng.random() < 0.2 else {}
            record = DeathRecord(f"e{i}", f"b{wave}", now, names, begun=begun)
            quarantine.on_engine_death(now, record)
        quarantine.on_survived(START + 4.0 * wave + 0.5, ("p", *(f"m{i}" for i in range(40))))
    return quarantine


def build_scopes(deaths: int, seconds: float, seed: int = 1) -> Quarantine:
    """Servers die of different requests of one scope, beside requests of others."""
    rng = Random(seed)
    quarantine = Quarantine(QuarantineSettings())
    for i in range(deaths):
        now = START + seconds * i / deaths
        scopes = {"r/bad": (f"q{i}",), f"r/{rng.randrange(40)}": (f"x{i}",)}
        names = tuple(sorted(name for found in scopes.values() for name in found))
        record = DeathRecord(
            f"s{i}",
            "b",
            now,
            names,
            begun=dict.fromkeys(names, ()),
            service="app",
            load=0.3,
            scopes=scopes,
            presence=dict.fromkeys(scopes, 0.1),
        )
        quarantine.on_engine_death(now, record)
    return quarantine


def measure(label: str, quarantine: Quarantine, now: float) -> None:
    """Prints the time of a verdict after a change and of further ones."""
    started = time.perf_counter()
    causes = quarantine.crashing_parts(now) | quarantine.crashing_scopes(now)
    found = time.perf_counter()
    for i in range(JUDGED):
        quarantine.verdict(now, f"new{i}", ("p", f"m{i % 30}"), "r/1")
    ended = time.perf_counter()
    print(
        f"{label}: {sorted(causes)}, after a change {1e3 * (found - started):.1f} ms,"
        f" otherwise {1e6 * (ended - found) / JUDGED:.1f} us a verdict"
    )


def main() -> None:
    """Measures series of deaths of several sizes."""
    for deaths, seconds in ((20, 10.0), (60, 10.0), (200, 20.0), (400, 30.0)):
        measure(f"{deaths} deaths of a part", build_storm(deaths, seconds), START + seconds)
    for deaths in (60, 400):
        measure(f"{deaths} deaths of a scope", build_scopes(deaths, 30.0), START + 30.0)
    for waves, engines in ((3, 30), (6, 100)):
        label = f"{waves} losses of {engines} engines"
        measure(label, build_losses(waves, engines), START + 4.0 * waves)


if __name__ == "__main__":
    main()
