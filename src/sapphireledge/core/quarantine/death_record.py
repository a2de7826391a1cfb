"""Record of the death of one engine incarnation."""

from __future__ import annotations

import msgspec

from sapphireledge.errors import ErrorKind, Failure

__all__ = ["DeathRecord"]


MIN_ESTIMATE = 0.02
"""Lowest estimate of a share of time that counts beside higher ones. An instance that has just
started has seen hardly any request end, and estimates less."""


class DeathRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Death of one engine incarnation, with the requests that were in flight on it.

    Several instances can report the same death, each with its own requests. Their records have the
    same key and are merged by union, so they can be delivered in any order and more than once.
    """

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the incarnation that died."""

    time_unix: float
    """Time at which the reporting instance detected the death, in Unix seconds."""

    suspects: tuple[str, ...] = ()
    """Fingerprints of the requests in flight, isolated ones included."""

    isolated: tuple[str, ...] = ()
    """Those of the `suspects` that ran isolated."""

    begun: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)
    """Those of the `suspects` that the engine had just begun to answer, each with the ids of the
    parts of its prompt that other requests can share."""

    service: str = ""
    """Service of the backend server."""

    load: float = 0.0
    """Share of time, from 0 to 1, in which any server of the service ran a request that has a
    scope, before the death."""

    scopes: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict)
    """Scopes of the requests in `begun` that have one, each with the fingerprints."""

    presence: dict[str, float] = msgspec.field(default_factory=dict)
    """Share of time, from 0 to 1, in which any server of the service ran a request of each of the
    `scopes` before the death; the highest estimate of the reporting instances."""

    servers: int = 0
    """Servers of the service that were not known to have died before, this one included; 0 if
    unknown."""

    load_estimates: tuple[float, ...] = ()
    """Estimates of `load` by the reporting instances, if they differ."""

    presence_estimates: dict[str, tuple[float, ...]] = msgspec.field(default_factory=dict)
    """Estimates of `presence` by the reporting instances, if they differ."""

    @property
    def key(self) -> tuple[str, str]:
        """Identity of the engine incarnation."""
        return self.backend, self.boot_id

    @property
    def culprits(self) -> frozenset[str]:
        """Fingerprints of the requests that may have caused the death.

        An engine crashes when it begins to answer, so other requests are considered only if none
        had just begun.
        """
        return frozenset(self.begun or self.suspects)

    @property
    def parts(self) -> frozenset[str]:
        """Ids of the prompt parts that may have caused the death."""
        return frozenset(part for parts in self.begun.values() for part in parts)

    @property
    def mean_load(self) -> float:
        """Mean of the estimates of `load`.

        Callers are spread over the instances unevenly, so the highest estimate is too high.
        """
        return _mean(self._all_loads or (0.0,))

    def mean_presence(self, scope: str) -> float:
        """Averages the estimates of the presence of a scope.

        Args:
            scope: The scope.

        Returns:
            The mean, 0 if the scope was not on the server.
        """
        return _mean(self._estimates_of(scope) or (0.0,))

    def merge(self, other: DeathRecord) -> DeathRecord:
        """Merges two reports of the same death.

        Args:
            other: Record with the same key.

        Returns:
            A record with the union of the requests and the earlier of the two times.
        """
        return DeathRecord(
            backend=self.backend,
            boot_id=self.boot_id,
            time_unix=min(self.time_unix, other.time_unix),
            suspects=tuple(sorted({*self.suspects, *other.suspects})),
            isolated=tuple(sorted({*self.isolated, *other.isolated})),
            begun={**self.begun, **other.begun},
            service=self.service or other.service,
            load=max(self.load, other.load),
            scopes={
                scope: tuple(sorted({*self.scopes.get(scope, ()), *other.scopes.get(scope, ())}))
                for scope in sorted({*self.scopes, *other.scopes})
            },
            presence={
                scope: max(self.presence.get(scope, 0.0), other.presence.get(scope, 0.0))
                for scope in sorted({*self.presence, *other.presence})
            },
            servers=max(self.servers, other.servers),
            load_estimates=_differing((*self._all_loads, *other._all_loads)),
            presence_estimates={
                scope: estimates
                for scope in sorted({*self.presence, *other.presence})
                if (
                    estimates := _differing(
                        (*self._estimates_of(scope), *other._estimates_of(scope))
                    )
                )
            },
        )

    @property
    def _all_loads(self) -> tuple[float, ...]:
        """Estimates of the load, none if the reporting instances had no requests there."""
        return self.load_estimates or ((self.load,) if self.load else ())

    def _estimates_of(self, scope: str) -> tuple[float, ...]:
        """Returns the estimates of the presence of a scope."""
        if scope not in self.presence:
            return ()
        return self.presence_estimates.get(scope, (self.presence[scope],))

    def encode(self) -> bytes:
        """Encodes the record for storage.

        Returns:
            The record as JSON.
        """
        return msgspec.json.encode(self)

    @staticmethod
    def decode(value: bytes) -> DeathRecord | Failure:
        """Decodes a stored record.

        Args:
            value: Output of `encode`; unknown fields are ignored.

        Returns:
            The record, or a failure of kind invalid_request.
        """
        try:
            return _DECODER.decode(value)
        except (msgspec.DecodeError, RecursionError) as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"invalid death record: {exc}")


def _differing(estimates: tuple[float, ...]) -> tuple[float, ...]:
    """Returns the different estimates in ascending order, none if all are equal."""
    found = tuple(sorted(set(estimates)))
    return found if len(found) > 1 else ()


def _mean(estimates: tuple[float, ...]) -> float:
    """Returns the mean of the estimates that rest on observations, of all if none does."""
    observed = tuple(found for found in estimates if found >= MIN_ESTIMATE) or estimates
    return sum(observed) / len(observed)


_DECODER = msgspec.json.Decoder(DeathRecord)
