"""Reading and writing of policy records: JSON or YAML text, mappings, compressed bodies."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping
from typing import Any

import attrs
import xxhash
import yaml
from cattrs.errors import BaseValidationError

from cottonlink._structuring import check_name, describe, list_problems, make_converter
from cottonlink.errors import PolicyError
from cottonlink.policy._checks import CHECKS, check_retry_budget, check_version, list_duplicates
from cottonlink.policy._records import Policy, Service
from cottonlink.policy._schema_1 import CHECKS_1, Policy1, Service1
from cottonlink.policy._upgrade import upgrade

CURRENT_SCHEMA = 2
MAX_RECORD_BYTES = 1 << 20

# Without a limit, a record with thousands of faults would fill the log and the time line.
MAX_PROBLEMS = 100

_RECORD_CLASSES: dict[int, type] = {1: Policy1, CURRENT_SCHEMA: Policy}
_COMPRESSION_LEVEL = 6

_CONVERTER = make_converter(
    CHECKS
    | CHECKS_1
    | {
        Policy: {"version": check_version},
        Policy1: {"version": check_version, "retries": check_retry_budget},
        Service: {"name": check_name},
        Service1: {"name": check_name},
    }
)


def load_policy(
    record: str | bytes | Mapping[str, Any],
    *,
    source: str = "",
    max_problems: int | None = MAX_PROBLEMS,
) -> Policy:
    """Return the policy in ``record``: JSON text, YAML text or a mapping, of any known schema.

    Raises PolicyError with every fault and its path, up to ``max_problems``. Its code is
    ``policy_too_large``, ``policy_malformed`` (neither JSON nor YAML), ``policy_schema_newer`` or
    ``policy_invalid``.
    """
    try:
        data = record if isinstance(record, Mapping) else _parse(record)
        policy = _structure(data)
        canonical = _canonical_json(data)
    except PolicyError as error:
        problems = _limit_problems(error.problems, max_problems)
        raise PolicyError(error.code, problems, peer=source) from error
    return attrs.evolve(
        policy,
        digest=xxhash.xxh3_128_hexdigest(canonical),
        body=zlib.compress(canonical, _COMPRESSION_LEVEL),
    )


def dump_policy(policy: Policy) -> dict[str, Any]:
    """Return ``policy`` as a JSON-ready mapping of the current schema, without digest and body."""
    data = _CONVERTER.unstructure(attrs.evolve(policy, digest="", body=b""))
    del data["digest"]
    del data["body"]
    return {"schema": CURRENT_SCHEMA, **data}


def encode_policy(policy: Policy) -> tuple[bytes, str]:
    """Return the zlib-compressed JSON of ``policy`` as it was published, and its digest."""
    if policy.body:
        return policy.body, policy.digest
    canonical = _canonical_json(dump_policy(policy))
    return zlib.compress(canonical, _COMPRESSION_LEVEL), xxhash.xxh3_128_hexdigest(canonical)


def decode_policy(body: bytes, *, source: str = "") -> Policy:
    """Return the policy in zlib-compressed JSON; raises PolicyError like ``load_policy``."""
    decompressor = zlib.decompressobj()
    try:
        # The limit guards against a small body that decompresses to a huge text.
        text = decompressor.decompress(body, MAX_RECORD_BYTES + 1)
    except zlib.error as error:
        raise _malformed_record(f"not zlib data: {error}", source) from error
    if len(text) <= MAX_RECORD_BYTES and not decompressor.eof:
        raise _malformed_record("zlib data ends early", source)
    return load_policy(text, source=source)


def _parse(text: str | bytes) -> Any:
    raw = text.encode("utf-8", "surrogatepass") if isinstance(text, str) else text
    if len(raw) > MAX_RECORD_BYTES:
        size = f"record: {len(raw)} bytes, limit {MAX_RECORD_BYTES}"
        raise PolicyError("policy_too_large", (size,))
    try:
        decoded = raw.decode("utf-8")
        # Parsing YAML takes many times as long as JSON, so it is only for records written by hand.
        return _parse_json(decoded) if decoded.lstrip()[:1] == "{" else _parse_yaml(decoded)
    except (ValueError, RecursionError, yaml.YAMLError) as error:
        raise _malformed_record(f"{error or type(error).__name__}") from error


def _parse_json(text: str) -> Any:
    return json.loads(text, object_pairs_hook=_check_unique_fields, parse_constant=_reject_constant)


def _check_unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the fields of a JSON object; raises ValueError if a name occurs twice.

    The json module would keep the last one only and could drop a whole list unnoticed.
    """
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"field {describe(repeated)} is given twice in one object")
    return fields


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _parse_yaml(text: str) -> Any:
    # With aliases, a small text can expand to a huge record.
    if any(isinstance(event, yaml.AliasEvent) for event in yaml.parse(text, yaml.CSafeLoader)):
        raise ValueError("YAML aliases are not allowed")
    return yaml.load(text, yaml.CSafeLoader)


def _structure(data: Any) -> Policy:
    if not isinstance(data, Mapping):
        raise _malformed_record(f"expected a mapping, got {describe(data)}")
    schema = data.get("schema")
    if isinstance(schema, bool) or not isinstance(schema, int) or schema < 1:
        raise PolicyError(
            "policy_invalid", (f"schema: expected {_known_schemas()}, got {describe(schema)}",)
        )
    if schema not in _RECORD_CLASSES:
        reason = f"schema: {describe(schema)} is newer than this release reads ({_known_schemas()})"
        raise PolicyError("policy_schema_newer", (reason,))
    fields = {name: value for name, value in data.items() if name != "schema"}
    problems = list_duplicates(fields)
    try:
        structured = _CONVERTER.structure(fields, _RECORD_CLASSES[schema])
    except (BaseValidationError, ValueError) as error:
        raise PolicyError("policy_invalid", list_problems(error) + problems) from error
    if problems:
        raise PolicyError("policy_invalid", problems)
    return upgrade(structured)


def _canonical_json(data: Mapping[str, Any]) -> bytes:
    """Return JSON that is equal for equal records, whatever their spacing or order of fields."""
    return json.dumps(data, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def _known_schemas() -> str:
    return " or ".join(map(str, sorted(_RECORD_CLASSES)))


def _malformed_record(reason: str, source: str = "") -> PolicyError:
    return PolicyError("policy_malformed", (f"record: {reason[:300]}",), peer=source)


def _limit_problems(problems: tuple[str, ...], max_problems: int | None) -> tuple[str, ...]:
    if max_problems is None or len(problems) <= max_problems:
        return problems
    hidden_count = len(problems) - max_problems
    return (*problems[:max_problems], f"record: {hidden_count} more faults")
