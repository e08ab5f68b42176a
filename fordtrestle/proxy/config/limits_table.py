"""The table `[limits]` of an operator file. Pure."""

from __future__ import annotations

from fordtrestle.proxy.config.limits import DEFAULT_LIMITS, MIN_CONNECTION_DESCRIPTORS, LimitsSpec
from fordtrestle.proxy.config.services import SHARE_TOLERANCE
from fordtrestle.proxy.engine.schema import TomlTable, or_nan


def read_limits_table(table: TomlTable) -> LimitsSpec:
    """Read the table, and record its faults in it."""
    fronts_share = table.share("fronts_guaranteed_share", DEFAULT_LIMITS.fronts_guaranteed_share)
    upstreams_share = table.share("upstreams_guaranteed_share", DEFAULT_LIMITS.upstreams_guaranteed_share)
    reserved = table.integer("reserved_descriptors", DEFAULT_LIMITS.reserved_descriptors)
    spec = LimitsSpec(
        descriptors=table.integer("descriptors", None, 32, 2**30),
        reserved_descriptors=reserved or 0,
        memory_mb=table.integer("memory_mb", None, 16),
        buffered_bytes_most=table.integer("buffered_bytes_most", None, 2**17),
        open_calls_most=table.integer("open_calls_most", None, 1),
        fronts_guaranteed_share=or_nan(fronts_share),
        upstreams_guaranteed_share=or_nan(upstreams_share),
    )
    if (
        spec.descriptors is not None
        and spec.reserved_descriptors > spec.descriptors - MIN_CONNECTION_DESCRIPTORS
    ):
        reason = f"leaves fewer than {MIN_CONNECTION_DESCRIPTORS} of {spec.descriptors} descriptors"
        table.add_error("reserved_descriptors", reason)
    total = spec.fronts_guaranteed_share + spec.upstreams_guaranteed_share
    if total > 1.0 + SHARE_TOLERANCE:
        reason = f"the sum with fronts_guaranteed_share is {total:g}, more than 1"
        table.add_error("upstreams_guaranteed_share", reason)
    table.reject_unknown_keys()
    return spec
