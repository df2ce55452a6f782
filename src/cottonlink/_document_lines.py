"""Finds the lines of a JSON text in which given paths begin."""

from __future__ import annotations

import functools
import json
import re
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator, Mapping
from json.decoder import WHITESPACE, scanstring
from typing import Any

import attrs

from cottonlink._findings import Finding

_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")
_COLON = re.compile(r"[ \t\n\r]*:[ \t\n\r]*")
_COMMA = re.compile(r"[ \t\n\r]*,?[ \t\n\r]*")
_SCAN = json.JSONDecoder().scan_once
Steps = tuple[str | int, ...]


def find_lines(text: str, paths: Iterable[str]) -> dict[str, int]:
    """Return the line of each of ``paths``, such as ``resources[3].spec``.

    For a path that the text doesn't have, that is the line of the innermost part that it has. The
    result is empty if the text is a single line.
    """
    if "\n" not in text.strip():
        return {}
    steps_by_path = {path: split_path(path) for path in paths}
    tree: dict[str | int, Any] = {}
    for steps in steps_by_path.values():
        node = tree
        for step in steps:
            node = node.setdefault(step, {})
    start = _skip_space(text, 0)
    positions: dict[Steps, int] = {(): start}
    try:
        _walk(text, start, tree, (), positions)
    except (ValueError, IndexError, AttributeError, StopIteration):
        # The text was parsed already, so this is a text that another parser takes for valid.
        return {}
    line_ends = [match.start() for match in re.finditer("\n", text)]
    return {
        path: bisect_left(line_ends, positions[find_innermost(steps, positions)]) + 1
        for path, steps in steps_by_path.items()
    }


@functools.lru_cache(maxsize=1 << 16)
def split_path(path: str) -> Steps:
    """Return the names and indices of a path."""
    return tuple(name or int(index) for name, index in _STEP.findall(path))


def find_innermost(steps: Steps, known: Mapping[Steps, int]) -> Steps:
    """Return the longest beginning of ``steps`` that is known."""
    while steps not in known:
        steps = steps[:-1]
    return steps


def find_repeated_fields(text: str, skipped: str = "") -> list[str]:
    """Return the paths of objects of a JSON text in which a field is given more than once.

    Parsers keep the last one and drop the others without a word. Values of fields with the name
    ``skipped`` aren't searched.
    """
    repeating: set[int] = set()

    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields = dict(pairs)
        if len(fields) != len(pairs):
            repeating.add(id(fields))
        return fields

    try:
        data = json.loads(text, object_pairs_hook=collect)
    except ValueError:
        return []
    # Nearly all documents end here, before any path is built.
    return list(_iter_paths(data, "", repeating, skipped)) if repeating else []


def _iter_paths(value: Any, path: str, wanted: set[int], skipped: str) -> Iterator[str]:
    if id(value) in wanted:
        yield path or "document"
    if isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _iter_paths(inner, f"{path}[{index}]", wanted, skipped)
    elif isinstance(value, dict):
        for name, inner in value.items():
            if name != skipped:
                yield from _iter_paths(inner, f"{path}.{name}".lstrip("."), wanted, skipped)


def _walk(text: str, start: int, tree: dict, steps: Steps, positions: dict[Steps, int]) -> None:
    """Record the positions of the parts of a value that are in ``tree``."""
    if text[start] not in "{[":
        return
    is_object = text[start] == "{"
    position = _skip_space(text, start + 1)
    index, left = 0, len(tree)
    scan, skip_colon, skip_comma = _SCAN, _COLON.match, _COMMA.match
    while text[position] not in "}]":
        step: str | int = index
        begin = position
        if is_object:
            step, position = scanstring(text, position + 1)
            position = skip_colon(text, position).end()
        inner = tree.get(step)
        if inner is not None:
            inner_steps = (*steps, step)
            positions[inner_steps] = begin
            if inner:
                _walk(text, position, inner, inner_steps, positions)
            left -= 1
            if not left:
                return
        # The C scanner finds the end of a value faster than a walk through it.
        position = skip_comma(text, scan(text, position)[1]).end()
        index += 1


def _skip_space(text: str, position: int) -> int:
    return WHITESPACE.match(text, position).end()


def place_findings(
    text: str,
    findings: list[Finding],
    find: Callable[[str, Iterable[str]], dict[str, int]] = find_lines,
) -> tuple[Finding, ...]:
    """Return ``findings`` about a text with the lines that ``find`` tells, ordered by path."""
    paths = {finding.path for finding in findings if finding.line is None}
    lines = find(text, paths) if paths else {}
    placed = [
        attrs.evolve(finding, line=lines[finding.path]) if finding.path in lines else finding
        for finding in findings
    ]
    return tuple(sorted(placed, key=lambda finding: _to_sort_key(finding.path)))


def _to_sort_key(path: str) -> tuple:
    return tuple((isinstance(step, int), step) for step in split_path(path))
