"""Check for engines that can continue an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.routing.backend_state import BackendState
    from sapphireledge.core.routing.backend_view import BackendView
    from sapphireledge.core.routing.route_request import RouteRequest

__all__ = ["is_software_gone"]


def is_software_gone(view: BackendView, request: RouteRequest) -> bool:
    """Returns whether no engine of the software version that began an answer is left.

    If that version is not known, the answer goes on only while no engine names one.

    Args:
        view: State of the backend servers.
        request: Request to resume the answer.

    Returns:
        False also while the versions of some engines are not known yet.
    """
    engines = [state for state in view.states() if state.instance.reports_load]
    loaded = [state for state in engines if _has_loaded(state, request)]
    is_named = any(state.report.software for state in loaded if state.report is not None)
    if request.software is None:
        return is_named
    if not loaded or not (is_named or request.software):
        return False
    if any(_can_continue(state, request) for state in loaded):
        return False
    return all(
        state.report is not None or state.unreachable_since is not None or state.leaving
        for state in engines
    )


def _has_loaded(state: BackendState, request: RouteRequest) -> bool:
    """Returns whether an engine has reported the model version of a request."""
    models = state.report.models if state.report is not None else ()
    return any((m.model, m.version) == (request.model, request.version) for m in models)


def _can_continue(state: BackendState, request: RouteRequest) -> bool:
    """Returns whether an engine has the software version of a request and is not leaving."""
    report = state.report
    return report is not None and report.software == request.software and not state.leaving
