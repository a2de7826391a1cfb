"""Configurations of the operator for the cases."""

from __future__ import annotations

from typing import Any

from standins.client import HOST


def make_route(name: str, path: str, service: str, kind: str = "safe", **more: Any) -> dict:
    """Builds a route; it needs an API key unless `anonymous` is set."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 2500,
        "goal_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 3,
        "anonymous": False,
        **more,
    }


def make_config(version: int, routes: list[dict], services: list[str], keys: list[str]) -> dict:
    """Builds a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "registry", "api_keys": keys, "priority": 1}],
    }
