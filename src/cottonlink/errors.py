"""Exceptions of cottonlink.

Every exception has a stable code and names the step and the peer at which it was raised.
"""

from __future__ import annotations

import enum

# What is shown of an error, which may hold foreign data.
DESCRIBED_CHARACTERS = 400


class Step(enum.StrEnum):
    """Step of a call, or of the control plane, at which an error was raised."""

    ACCEPT = "accept"
    IDENTIFY = "identify"
    ROUTE = "route"
    CONNECT = "connect"
    SEND_HEAD = "send_head"
    SEND_BODY = "send_body"
    QUEUE = "queue"
    HAND_OVER = "hand_over"
    RUN = "run"
    FIRST_BYTE = "first_byte"
    BODY = "body"
    RELAY = "relay"
    CANCEL = "cancel"
    DRAIN = "drain"
    POLICY_READ = "policy_read"
    POLICY_SPREAD = "policy_spread"
    SETTINGS = "settings"


class Executed(enum.StrEnum):
    """Whether the target ran a request, as far as the responding node knows."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class CottonlinkError(Exception):
    """Base class of all errors.

    ``code`` is stable and documented in ``docs/OPERATIONS.md``. ``peer`` is the name or address
    of the remote side, or an empty string for an error inside the process.
    """

    def __init__(self, code: str, detail: str, *, step: Step, peer: str = "") -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.step = step
        self.peer = peer


def describe_error(error: BaseException) -> str:
    """Return the type and message of an error, shortened to a bounded length."""
    try:
        message = str(error)
    except Exception:
        # It may hold a value that is nested too deeply to be shown.
        message = "no message"
    return f"{type(error).__name__}: {message}"[:DESCRIBED_CHARACTERS]


class SettingsError(CottonlinkError):
    """The settings file is invalid. ``problems`` lists every problem with its path."""

    def __init__(self, problems: tuple[str, ...], *, peer: str = "") -> None:
        super().__init__("settings_invalid", "; ".join(problems), step=Step.SETTINGS, peer=peer)
        self.problems = problems


class ListenError(CottonlinkError):
    """The node can't listen at an address of its settings, ``peer``, and never will."""

    def __init__(self, detail: str, *, peer: str) -> None:
        super().__init__("listen_failed", detail, step=Step.ACCEPT, peer=peer)


class PolicyError(CottonlinkError):
    """A policy record was rejected. ``problems`` lists every problem with its path."""

    def __init__(self, code: str, problems: tuple[str, ...], *, peer: str = "") -> None:
        super().__init__(code, "; ".join(problems), step=Step.POLICY_READ, peer=peer)
        self.problems = problems


class CallError(CottonlinkError):
    """A call ended without a response from its target.

    ``executed`` is ``NO`` only if the target certainly did not run the request.
    ``retry_after_ms`` is the time after which the caller may retry, or None if none is advised.
    """

    def __init__(
        self,
        code: str,
        detail: str,
        *,
        step: Step,
        peer: str = "",
        executed: Executed = Executed.UNKNOWN,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(code, detail, step=step, peer=peer)
        self.executed = executed
        self.retry_after_ms = retry_after_ms
