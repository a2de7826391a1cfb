"""Runs a small fleet on loopback and shows an answer that survives the loss of its engine.

Starts the platform stand-in, three entry instances, two engines and a booking service as separate
processes; kills the engine during a generation; prints the answer, the cost of resuming and the
recorded events, and where another request would go; sends one booking through two instances; stops
all processes.
"""

from __future__ import annotations

import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import uuid6  # noqa: E402

from devtools.caller import book, generate  # noqa: E402
from devtools.local_fleet import EngineSpec, EntrySpec, LocalFleet, ServiceSpec  # noqa: E402
from sapphireledge.rpc import load_schema  # noqa: E402
from sapphireledge_standins.chained_answer import check_chained_answer  # noqa: E402

TOKENS = 120
"""Length of the answer in tokens."""

KILL_AT = 50
"""Number of tokens after which the engine is killed."""

ENGINE_OPTIONS = ("--token-rate", "40")
"""Command-line options of both engines."""


def main() -> int:
    """Runs the demonstration.

    Returns:
        0 if an engine was killed, the answer was correct and the booking ran once, otherwise 1.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(
            Path(folder),
            tuple(EntrySpec(f"akl-a-{n}") for n in (1, 2, 3)),
            tuple(EngineSpec(f"engine-{n}", options=ENGINE_OPTIONS) for n in (1, 2)),
            (ServiceSpec("booking-1"),),
        )
        with fleet:
            print(f"started: {', '.join(fleet.processes)}")
            answer_ok = show_generation(fleet)
            show_explanation(fleet)
            booking_ok = show_booking(fleet)
        print("stopped everything")
    return 0 if answer_ok and booking_ok else 1


def show_generation(fleet: LocalFleet) -> bool:
    """Generates an answer during which its engine is killed.

    Args:
        fleet: The running fleet.

    Returns:
        Whether an engine was killed and the answer was complete and correct.
    """
    request_id = str(uuid6.uuid7())
    killed: list[str] = []

    def kill_engine(tokens: int) -> bool:
        if tokens == KILL_AT:
            for engine in ("engine-1", "engine-2"):
                if any(request_id in name for name in fleet.counts(engine)["requests"]):
                    killed.append(engine)
                    threading.Thread(target=fleet.kill, args=(engine,)).start()
        return False

    print(f"\ngenerating {TOKENS} tokens through akl-a-1, request {request_id}")
    answer = generate(
        fleet.callers["akl-a-1"], request_id=request_id, max_tokens=TOKENS, on_token=kill_engine
    )
    report = check_chained_answer(answer.text)
    correct = answer.done and report.intact and report.tokens == TOKENS
    print(f"killed {', '.join(killed)} after token {KILL_AT}")
    print(f"answer: {answer.text}")
    print(f"check: {report.tokens} tokens, {'correct' if correct else f'WRONG: {report.problem}'}")
    print(f"longest gap between tokens: {answer.longest_gap * 1000:.0f} ms")
    survivor = next(name for name in ("engine-1", "engine-2") if name not in killed)
    recomputed = fleet.counts(survivor)["tokens_recomputed"]
    print(f"cost of resuming: {recomputed} tokens recomputed for {TOKENS} tokens of answer")
    show_events(fleet, request_id)
    return correct and bool(killed)


def show_events(fleet: LocalFleet, request_id: str) -> None:
    """Prints the recorded events of a request and whether replay reproduces them.

    Args:
        fleet: The running fleet.
        request_id: Id of the request.
    """
    time.sleep(0.2)
    client = fleet.operator("akl-a-2")
    try:
        result = client.replay(f"default~{request_id}")
    finally:
        client.close()
    print(f"\nevents of the request, read through akl-a-2 ({len(result.events)}):")
    for event in result.events:
        decisions = "" if event.decisions == "[]" else f" -> {event.decisions}"
        line = f"  {event.instance} {event.sequence:3} {event.name} {event.input}{decisions}"
        print(line if len(line) <= 160 else line[:157] + "...")
    print(f"replay reproduces every decision: {'yes' if result.same else 'NO'}")


def show_explanation(fleet: LocalFleet) -> None:
    """Prints where another generation would go, without sending it.

    Args:
        fleet: The running fleet.
    """
    request = load_schema("operator").ExplainRequest(model="drafter", prompt_tokens=800)
    client = fleet.operator("akl-a-1")
    try:
        result = client.explain(request)
    finally:
        client.close()
    print(f"\nanother generation through akl-a-1: {result.outcome}, {result.reason}")
    for server in result.servers:
        terms = ", ".join(f"{term.name} {term.value:.0f}" for term in server.terms)
        print(f"  {server.name} {server.role} {server.reason} {terms}".rstrip())


def show_booking(fleet: LocalFleet) -> bool:
    """Sends a booking with the same key through two instances.

    Args:
        fleet: The running fleet.

    Returns:
        Whether the service ran the booking exactly once.
    """
    key = str(uuid6.uuid7())
    first = book(fleet.callers["akl-a-1"], key)
    second = book(fleet.callers["akl-a-2"], key)
    runs = fleet.counts("booking-1")["runs"][key]
    print(f"\nbooking sent through two instances: {first.status} {first.answer},", end=" ")
    print(f"{second.status} {second.answer}; the service ran it {runs} time(s)")
    return runs == 1


if __name__ == "__main__":
    sys.exit(main())
