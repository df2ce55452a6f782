"""The header that tells a peer how many targets a request has crashed, and for how long."""

from __future__ import annotations

from cottonlink._headers import parse_unsigned_int
from cottonlink.decisions import SuspicionReport

_UNSUSPECTED = "0:0"


def format_suspicion(news: SuspicionReport | None) -> str:
    """Return ``level:age_ms``. Without its age, news would last longer at each node it passes."""
    return f"{news.level}:{news.age_ms}" if news else _UNSUSPECTED


def parse_suspicion(text: str) -> SuspicionReport | None:
    """Return the news in a header, or None if it is malformed or the request is unsuspected."""
    level_text, _, age_text = text.partition(":")
    level, age_ms = parse_unsigned_int(level_text), parse_unsigned_int(age_text)
    return SuspicionReport(level, age_ms) if level and age_ms is not None else None
