"""Loads the Thrift schemas shipped with the package."""

from __future__ import annotations

import functools
from importlib import resources
from typing import TYPE_CHECKING

import thriftpy2
from thriftpy2.thrift import TType, gen_init

if TYPE_CHECKING:
    from types import ModuleType
    from typing import Any

__all__ = ["load_schema"]

_EMPTY_VALUES: dict[int, Any] = {
    TType.BOOL: False,
    TType.BYTE: 0,
    TType.I16: 0,
    TType.I32: 0,
    TType.I64: 0,
    TType.DOUBLE: 0.0,
    TType.STRING: "",
    TType.BINARY: b"",
    # A tuple, because all instances share the default.
    TType.LIST: (),
}


@functools.cache
def load_schema(name: str) -> ModuleType:
    """Loads one schema of the package.

    Fields missing from a message default to the empty value of their type, so that readers need
    not distinguish None from empty. Fields of struct type default to None.

    Args:
        name: Name of the schema file without its suffix, such as "peer".

    Returns:
        Module with the structs, exceptions and services of the schema.
    """
    source = resources.files("sapphireledge").joinpath("schema", f"{name}.thrift")
    with resources.as_file(source) as path:
        module = thriftpy2.load(str(path), module_name=f"sapphireledge_{name}_thrift")
    meta = module.__thrift_meta__
    for struct in (*meta["structs"], *meta["exceptions"]):
        _set_empty_values(struct)
    for service in meta["services"]:
        for method in service.thrift_services:
            _set_empty_values(getattr(service, f"{method}_args"))
    return module


def _set_empty_values(struct: Any) -> None:
    """Sets the default of each field of a struct to the empty value of its type."""
    fields = struct.thrift_spec.values()
    gen_init(struct, default_spec=[(field[1], _EMPTY_VALUES.get(field[0])) for field in fields])
