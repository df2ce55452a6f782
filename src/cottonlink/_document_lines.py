"""Finds the lines of a JSON text in which given paths begin."""

from __future__ import annotations

import json
import re
from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping
from json.decoder import WHITESPACE, scanstring
from typing import Any

import attrs

from cottonlink._findings import Finding

_STEP = re.compile(r"([^.\[\]]+)|\[(\d+)\]")
_COLON = re.compile(r"[ \t\n\r]*:[ \t\n\r]*")
_COMMA = re.compile(r"[ \t\n\r]*,?[ \t\n\r]*")
_DECODER = json.JSONDecoder()
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
    positions: dict[Steps, int] = {}
    try:
        _walk(text, _skip_space(text, 0), tree, (), positions)
    except (ValueError, IndexError, AttributeError):
        # The text was parsed already, so this is a text that another parser takes for valid.
        return {}
    line_ends = [match.start() for match in re.finditer("\n", text)]
    return {
        path: bisect_left(line_ends, positions[find_innermost(steps, positions)]) + 1
        for path, steps in steps_by_path.items()
    }


def split_path(path: str) -> Steps:
    """Return the names and indices of a path."""
    return tuple(name or int(index) for name, index in _STEP.findall(path))


def find_innermost(steps: Steps, known: Mapping[Steps, int]) -> Steps:
    """Return the longest beginning of ``steps`` that is known."""
    while steps not in known:
        steps = steps[:-1]
    return steps


def _walk(text: str, start: int, tree: dict, steps: Steps, positions: dict[Steps, int]) -> int:
    """Record the positions of the parts of a value that are in ``tree``; return its end."""
    positions.setdefault(steps, start)
    if not tree or text[start] not in "{[":
        # Values without a wanted part are skipped at the speed of the C scanner.
        return _DECODER.raw_decode(text, start)[1]
    is_object = text[start] == "{"
    position = _skip_space(text, start + 1)
    index = 0
    while text[position] not in "}]":
        step: str | int = index
        begin = position
        if is_object:
            step, position = scanstring(text, position + 1)
            position = _COLON.match(text, position).end()
        inner = tree.get(step)
        if inner is None:
            end = _DECODER.raw_decode(text, position)[1]
        else:
            positions[(*steps, step)] = begin
            end = _walk(text, position, inner, (*steps, step), positions)
        position = _COMMA.match(text, end).end()
        index += 1
    return position + 1


def _skip_space(text: str, position: int) -> int:
    return WHITESPACE.match(text, position).end()


def place_findings(
    text: str,
    findings: list[Finding],
    find: Callable[[str, Iterable[str]], dict[str, int]] = find_lines,
) -> tuple[Finding, ...]:
    """Return ``findings`` about a text with the lines that ``find`` tells, ordered by path."""
    lines = find(text, {finding.path for finding in findings}) if findings else {}
    placed = [
        finding if finding.line else attrs.evolve(finding, line=lines.get(finding.path))
        for finding in findings
    ]
    return tuple(sorted(placed, key=lambda finding: _to_sort_key(finding.path)))


def _to_sort_key(path: str) -> tuple:
    return tuple((isinstance(step, int), step) for step in split_path(path))
