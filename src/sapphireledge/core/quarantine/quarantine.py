"""Detection of requests and prompt parts that crash the engines that run them."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sapphireledge.core.quarantine.clear_verdict import ClearVerdict
from sapphireledge.core.quarantine.clearing_record import ClearingRecord
from sapphireledge.core.quarantine.death_record import DeathRecord
from sapphireledge.core.quarantine.draw_trial import trial_share
from sapphireledge.core.quarantine.find_crashing_parts import SOUND_TIME, find_crashing_parts
from sapphireledge.core.quarantine.find_crashing_scopes import (
    REPORT_TIME,
    SETTLE_TIME,
    find_crashing_scopes,
)
from sapphireledge.core.quarantine.hide_part import PART_REASON
from sapphireledge.core.quarantine.is_in_burst import is_in_burst
from sapphireledge.core.quarantine.isolate_verdict import IsolateVerdict
from sapphireledge.core.quarantine.suspect_state import SuspectState
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits

__all__ = ["PART_PREFIX", "SCOPE_PREFIX", "Quarantine"]

PART_PREFIX = "part:"
"""Prefix of the id of a prompt part where a fingerprint of a request may stand, too."""

SCOPE_PREFIX = "scope:"
"""Prefix of a scope where a fingerprint of a request may stand, too."""

HELD_RETRY_AFTER = 5.0
"""Retry-After in seconds for a request that is held back because it may crash servers."""

MAX_SURVIVALS = 4_096
"""Prompt parts whose latest survival is remembered; the part that survived longest ago is forgotten
first."""

CLEARING_STEP = 1.0
"""Seconds by which a survival must be newer than the known one to be shared with other
instances."""

IncarnationKey = tuple[str, str]
"""Backend server and boot id of an engine incarnation that died."""


class _Horizons(NamedTuple):
    """Numbers of the deaths, in chronological order, that are too old for something."""

    parts: int = 0
    """Too old to count against prompt parts."""

    scopes: int = 0
    """Too old to count against scopes."""

    settled: int = 0
    """Too old to be part of a loss of servers that is not known completely."""

    reported: int = 0
    """Too old for reports of other instances to be missing."""


class Quarantine:
    """Attributes engine deaths to requests and to the parts of prompts that requests share.

    The state consists of the merged death records and, for each fingerprint and part, the time of
    the latest clearing. Verdicts depend on this state only, so instances with the same records
    reach the same verdict whatever the order in which the records arrived. Survivals that this
    instance sees count at once; `take_clearings` returns those that the others need to know.

    Times are Unix seconds because they are compared with those of other instances and of the
    platform.
    """

    def __init__(self, cfg: QuarantineLimits):
        self._cfg = cfg
        self._records: dict[IncarnationKey, DeathRecord] = {}
        self._by_time: list[tuple[float, IncarnationKey]] = []
        self._by_fingerprint: dict[str, set[IncarnationKey]] = {}
        self._by_part: dict[str, set[IncarnationKey]] = {}
        self._survived_at: dict[str, float] = {}
        self._crashing_parts: frozenset[str] | None = frozenset()
        self._crashing_scopes: frozenset[str] | None = frozenset()
        self._horizons = _Horizons()
        self._now_unix = float("-inf")
        self._cleared_at: dict[str, float] = {}
        self._clear_order: deque[tuple[float, str]] = deque()

    @property
    def has_deaths(self) -> bool:
        """Whether any death is on record."""
        return bool(self._records)

    @property
    def attribution_time(self) -> float:
        """Longest time in seconds until recent deaths are attributed."""
        return self._cfg.burst_window

    def has_died(self, backend: str, boot_id: str) -> bool:
        """Whether a death is on record.

        Args:
            backend: Name of the backend server.
            boot_id: Boot id of its incarnation.

        Returns:
            Whether it is.
        """
        return (backend, boot_id) in self._records

    def has_died_since(self, since_unix: float, backend: str) -> bool:
        """Whether a death of any incarnation of a backend server is on record.

        Args:
            since_unix: Time in Unix seconds after which the death came.
            backend: Name of the backend server.

        Returns:
            Whether it is.
        """
        first = bisect_right(self._by_time, since_unix, key=lambda item: item[0])
        return any(key[0] == backend for _, key in self._by_time[first:])

    def on_engine_death(self, now_unix: float, record: DeathRecord) -> bool:
        """Merges a death detected by this instance, reported by a peer or read from the platform.

        Args:
            now_unix: Time in Unix seconds.
            record: The death; duplicates have no effect.

        Returns:
            Whether the record added information and so must be propagated.
        """
        self.expire(now_unix)
        if record.time_unix <= now_unix - self._cfg.retention:
            return False
        known = self._records.get(record.key)
        merged = record.merge(known or record)
        if merged == known:
            return False
        if known is not None:
            self._by_time.remove((known.time_unix, record.key))
        self._records[record.key] = merged
        insort(self._by_time, (merged.time_unix, record.key))
        for fingerprint in merged.suspects:
            self._by_fingerprint.setdefault(fingerprint, set()).add(record.key)
        for part in merged.parts:
            self._by_part.setdefault(part, set()).add(record.key)
        self._forget_results()
        return True

    def on_survived(self, now_unix: float, parts: Sequence[str]) -> None:
        """Records that an engine of this instance survived the beginning of an answer.

        Args:
            now_unix: Time in Unix seconds.
            parts: Ids of the prompt parts of the request.
        """
        for part in parts:
            excused_until = self._sound_at(part) + SOUND_TIME
            deaths = self._by_part.get(part, ())
            if any(self._records[key].time_unix > excused_until for key in deaths):
                self._forget_results()
            self._survived_at.pop(part, None)
            self._survived_at[part] = now_unix
        while len(self._survived_at) > MAX_SURVIVALS:
            del self._survived_at[next(iter(self._survived_at))]

    def take_clearings(self, now_unix: float) -> tuple[ClearingRecord, ...]:
        """Takes the survivals of suspected parts that other instances need to know.

        Args:
            now_unix: Time in Unix seconds.

        Returns:
            Records to propagate.
        """
        clearings = []
        for part, keys in self._by_part.items():
            survived = self._survived_at.get(part)
            known = self._cleared_at.get(PART_PREFIX + part, float("-inf"))
            if survived is None or survived < known + CLEARING_STEP:
                continue
            latest = max(self._records[key].time_unix for key in keys)
            if latest > known and latest > survived - self._cfg.retention:
                clearings.append(ClearingRecord(PART_PREFIX + part, survived))
        return tuple(record for record in clearings if self.on_cleared(now_unix, record))

    def on_completed(self, now_unix: float, fingerprint: str) -> ClearingRecord | None:
        """Clears a request that ran to completion.

        Args:
            now_unix: Time in Unix seconds; deaths up to it no longer count.
            fingerprint: Fingerprint of the request.

        Returns:
            Record to propagate to the other instances, or None if the request is not suspected or
            the clearing adds nothing.
        """
        if fingerprint not in self._by_fingerprint:
            return None
        record = ClearingRecord(fingerprint, now_unix)
        return record if self.on_cleared(now_unix, record) else None

    def lift(self, now_unix: float, fingerprint: str, who: str, why: str) -> ClearingRecord | None:
        """Clears a suspected request on behalf of an operator.

        Args:
            now_unix: Time of the command in Unix seconds.
            fingerprint: Fingerprint of the request, `PART_PREFIX` and the id of a prompt part, or
                `SCOPE_PREFIX` and a scope.
            who: Operator who gave the command.
            why: Reason given by the operator.

        Returns:
            Record to store and propagate, or None if the request is not suspected.
        """
        part = fingerprint.removeprefix(PART_PREFIX)
        scope = fingerprint.removeprefix(SCOPE_PREFIX)
        if (
            fingerprint not in self._by_fingerprint
            and part not in self._by_part
            and scope not in self.crashing_scopes(now_unix)
        ):
            return None
        record = ClearingRecord(fingerprint, now_unix, who, why)
        self.on_cleared(now_unix, record)
        return record

    def on_cleared(self, now_unix: float, record: ClearingRecord) -> bool:
        """Merges a clearing by this instance, reported by a peer or read from the platform.

        Args:
            now_unix: Time in Unix seconds.
            record: The clearing; duplicates have no effect.

        Returns:
            Whether the record added information and so must be propagated.
        """
        if record.time_unix <= now_unix - self._cfg.retention:
            return False
        if record.time_unix <= self._cleared_at.get(record.fingerprint, float("-inf")):
            return False
        self._cleared_at[record.fingerprint] = record.time_unix
        self._clear_order.append((record.time_unix, record.fingerprint))
        self._forget_results()
        return True

    def crashing_parts(self, now_unix: float) -> frozenset[str]:
        """Lists the prompt parts that crash engines.

        Args:
            now_unix: Time in Unix seconds.

        Returns:
            Ids of the parts.
        """
        self.expire(now_unix)
        return self._find_crashing_parts()

    def crashing_scopes(self, now_unix: float) -> frozenset[str]:
        """Lists the scopes of which some requests crash servers.

        Args:
            now_unix: Time in Unix seconds.

        Returns:
            The scopes.
        """
        self.expire(now_unix)
        return self._find_crashing_scopes()

    def verdict(
        self,
        now_unix: float,
        fingerprint: str,
        parts: Sequence[str] = (),
        scope: str = "",
        draw: float = 0.0,
    ) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides how a request may run.

        Args:
            now_unix: Time in Unix seconds.
            fingerprint: Fingerprint of the request.
            parts: Ids of the parts of its prompt that other requests can share.
            scope: Scope of the request, empty if it has none.
            draw: Result of `draw_trial` for the request; of those that are held back, the ones
                with the lowest results are tried.

        Returns:
            A verdict, or a failure: request_condemned, or overloaded with the delay after which the
            latest deaths can be attributed or the request may be tried again. With either failure,
            nothing is run.
        """
        failure = self._refuse_shared(now_unix, parts, scope)
        if failure is not None:
            return failure
        if fingerprint not in self._by_fingerprint:
            return ClearVerdict()
        self.expire(now_unix)
        deaths = self._counted_deaths(fingerprint)
        if len(deaths) < self._cfg.isolate_after:
            return ClearVerdict(len(deaths))
        if self._is_proven_cause(fingerprint, deaths):
            names = ", ".join(r.backend for r in deaths)
            reason = f"{len(deaths)} engines died while running this request: {names}"
            return Failure(ErrorKind.REQUEST_CONDEMNED, reason)
        attributable_at = deaths[-1].time_unix + self._cfg.burst_window
        if len(deaths) >= self._cfg.condemn_after and now_unix < attributable_at:
            reason = "recent engine deaths have not been attributed yet"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=attributable_at - now_unix)
        since_death = now_unix - deaths[-1].time_unix
        if self._is_held(fingerprint, deaths) and draw >= trial_share(since_death):
            reason = f"{len(deaths)} servers died at once while running this request"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=HELD_RETRY_AFTER)
        return IsolateVerdict(len(deaths))

    def _refuse_shared(self, now_unix: float, parts: Sequence[str], scope: str) -> Failure | None:
        """Refuses a request by what it has in common with others that crash servers."""
        if scope and scope in self.crashing_scopes(now_unix):
            reason = f"servers die when they run requests of {scope}"
            return Failure(
                ErrorKind.REQUEST_CONDEMNED, reason, retry_after=self._cfg.scope_retention
            )
        if self._by_part and parts:
            crashing = self.crashing_parts(now_unix)
            part = next((part for part in parts if part in crashing), None)
            if part is not None:
                reason = f"{PART_REASON} {part}"
                return Failure(ErrorKind.REQUEST_CONDEMNED, reason)
        return None

    def records(self) -> tuple[DeathRecord, ...]:
        """Lists the death records within the retention period.

        Returns:
            The merged records in chronological order.
        """
        return tuple(self._records[key] for _, key in self._by_time)

    def suspects(self, now_unix: float) -> tuple[SuspectState, ...]:
        """Lists the requests with counted deaths, and the parts and scopes that crash servers.

        Args:
            now_unix: Time in Unix seconds.

        Returns:
            Their states, in descending order of deaths.
        """
        crashing = self.crashing_parts(now_unix)
        states = [self._state(fingerprint) for fingerprint in self._by_fingerprint]
        found = [state for state in states if state is not None]
        found += [self._part_state(part) for part in crashing]
        found += [self._scope_state(scope) for scope in self.crashing_scopes(now_unix)]
        return tuple(sorted(found, key=lambda state: (-state.deaths, state.fingerprint)))

    def expire(self, now_unix: float) -> None:
        """Drops deaths and clearings older than the retention period.

        Args:
            now_unix: Time in Unix seconds.
        """
        oldest = now_unix - self._cfg.retention
        end = bisect_right(self._by_time, oldest, key=lambda item: item[0])
        for _, key in self._by_time[:end]:
            self._remove_record(key)
        del self._by_time[:end]
        ages = (self._cfg.part_retention, self._cfg.scope_retention, SETTLE_TIME, REPORT_TIME)
        horizons = _Horizons(
            *(bisect_right(self._by_time, now_unix - age, key=lambda item: item[0]) for age in ages)
        )
        self._now_unix = now_unix
        if horizons != self._horizons:
            self._horizons = horizons
            self._forget_results()
        while self._clear_order and self._clear_order[0][0] <= oldest:
            time_unix, fingerprint = self._clear_order.popleft()
            if self._cleared_at.get(fingerprint) == time_unix:
                del self._cleared_at[fingerprint]

    def _remove_record(self, key: IncarnationKey) -> None:
        """Removes a record and its index entries, except the one in `_by_time`."""
        record = self._records.pop(key)
        for fingerprint in record.suspects:
            _discard(self._by_fingerprint, fingerprint, key)
        for part in record.parts:
            _discard(self._by_part, part, key)
        self._forget_results()

    def _forget_results(self) -> None:
        """Forgets what deaths are attributed to, because the state has changed."""
        self._crashing_parts = None
        self._crashing_scopes = None

    def _find_crashing_scopes(self) -> frozenset[str]:
        """Returns the scopes that crash servers; the result is kept until the state changes."""
        if self._crashing_scopes is None:
            parts = self._find_crashing_parts()
            deaths = [
                r for r in self.records()[self._horizons.scopes :] if parts.isdisjoint(r.parts)
            ]
            self._crashing_scopes = find_crashing_scopes(
                deaths, self._now_unix, self._lifted_at, self._cfg
            )
        return self._crashing_scopes

    def _lifted_at(self, scope: str) -> float:
        """Returns the time up to which deaths do not count against a scope."""
        return self._cleared_at.get(SCOPE_PREFIX + scope, float("-inf"))

    def _find_crashing_parts(self) -> frozenset[str]:
        """Returns the parts that crash engines; the result is kept until the state changes."""
        if self._crashing_parts is None:
            deaths = [r for r in self.records()[self._horizons.parts :] if r.suspects]
            self._crashing_parts = find_crashing_parts(deaths, self._sound_at, self._cfg)
        return self._crashing_parts

    def _counted_deaths(self, fingerprint: str) -> list[DeathRecord]:
        """Lists the deaths that count against a request, in chronological order."""
        cleared = self._cleared_at.get(fingerprint, float("-inf"))
        crashing = self._find_crashing_parts()
        scopes = self._find_crashing_scopes()
        records = [self._records[key] for key in self._by_fingerprint.get(fingerprint, ())]
        deaths = [
            r
            for r in records
            if r.time_unix > cleared
            and fingerprint in r.culprits
            and crashing.isdisjoint(r.parts)
            and scopes.isdisjoint(r.scopes)
            and not self._in_burst(r)
        ]
        return sorted(deaths, key=lambda r: (r.time_unix, r.key))

    def _in_burst(self, death: DeathRecord) -> bool:
        """Whether a death belongs to a burst, whose common cause lies outside the requests."""
        window = self._cfg.burst_window
        first = bisect_left(self._by_time, death.time_unix - window, key=lambda item: item[0])
        last = bisect_right(self._by_time, death.time_unix + window, key=lambda item: item[0])
        nearby = [self._records[key] for _, key in self._by_time[first:last]]
        nearby = [record for record in nearby if record.suspects or record is death]
        return is_in_burst(death, nearby, self._suspects_of, self._cfg)

    def _suspects_of(self, death: DeathRecord) -> set[str]:
        """Returns the requests and parts that may have caused a death."""
        parts = {
            PART_PREFIX + part
            for part in death.parts
            if death.time_unix > self._sound_at(part) + SOUND_TIME
        }
        return {*death.culprits, *parts}

    def _sound_at(self, part: str) -> float:
        """Returns the latest time at which an engine is known to have survived a part."""
        cleared = self._cleared_at.get(PART_PREFIX + part, float("-inf"))
        return max(cleared, self._survived_at.get(part, float("-inf")))

    def _is_proven_cause(self, fingerprint: str, deaths: list[DeathRecord]) -> bool:
        """Whether a death in isolation, or as it began to run, proves that a request is the cause.

        A request that is moved between the engines of a failing rack sees several deaths within one
        burst window, all of which share it as a suspect. Only a death a whole burst window
        after the previous one is therefore proof; `verdict` makes the request wait until then.
        """
        first = self._cfg.condemn_after - 1
        return any(
            death.time_unix - before.time_unix >= self._cfg.burst_window
            and (self._ran_isolated(fingerprint, death) or self._began_alone(fingerprint, death))
            for before, death in zip(deaths[first - 1 :], deaths[first:], strict=False)
        )

    def _is_held(self, fingerprint: str, deaths: list[DeathRecord]) -> bool:
        """Whether a request had just begun to run at so many deaths that few may try it again.

        The deaths may still be those of a failing rack, through which the request was moved.
        """
        return sum(fingerprint in death.begun for death in deaths) >= self._cfg.condemn_after

    def _began_alone(self, fingerprint: str, death: DeathRecord) -> bool:
        """Whether a request began to run on an engine that died, and no other suspect did.

        Requests that begin are on an engine for a moment only; few deaths with another cause hit
        the same one so often.
        """
        return (
            fingerprint in death.begun
            and set(death.isolated) <= {fingerprint}
            and not any(
                self._requires_isolation_without(other, death)
                for other in death.begun
                if other != fingerprint
            )
        )

    def _ran_isolated(self, fingerprint: str, death: DeathRecord) -> bool:
        """Whether no other request that required isolation was on the engine when it died.

        Instances choose backend servers independently, so two of them can isolate different
        requests on the same engine; the death of that engine proves nothing about either.
        """
        if death.isolated != (fingerprint,):
            return False
        others = (other for other in death.suspects if other != fingerprint)
        return not any(self._requires_isolation_without(other, death) for other in others)

    def _requires_isolation_without(self, fingerprint: str, death: DeathRecord) -> bool:
        """Whether the other deaths of a request suffice to isolate it."""
        if len(self._by_fingerprint[fingerprint]) <= self._cfg.isolate_after:
            return False
        earlier = [r for r in self._counted_deaths(fingerprint) if r.key != death.key]
        return len(earlier) >= self._cfg.isolate_after

    def _state(self, fingerprint: str) -> SuspectState | None:
        """Returns the state of a request, or None if no death counts against it."""
        deaths = self._counted_deaths(fingerprint)
        if not deaths:
            return None
        state = "isolated" if len(deaths) >= self._cfg.isolate_after else "suspect"
        if self._is_proven_cause(fingerprint, deaths):
            state = "condemned"
        backends = tuple(r.backend for r in deaths)
        return SuspectState(fingerprint, len(deaths), state, deaths[0].time_unix, backends)

    def _scope_state(self, scope: str) -> SuspectState:
        """Returns the state of a scope that crashes servers."""
        deaths = [r for r in self.records()[self._horizons.scopes :] if scope in r.scopes]
        backends = tuple(r.backend for r in deaths)
        name = SCOPE_PREFIX + scope
        return SuspectState(name, len(deaths), "condemned", deaths[0].time_unix, backends)

    def _part_state(self, part: str) -> SuspectState:
        """Returns the state of a part that crashes engines."""
        deaths = sorted(
            (self._records[key] for key in self._by_part[part]), key=lambda r: (r.time_unix, r.key)
        )
        backends = tuple(r.backend for r in deaths)
        return SuspectState(
            PART_PREFIX + part, len(deaths), "condemned", deaths[0].time_unix, backends
        )


def _discard(index: dict[str, set[IncarnationKey]], name: str, key: IncarnationKey) -> None:
    """Removes a record from an index."""
    keys = index[name]
    keys.discard(key)
    if not keys:
        del index[name]
