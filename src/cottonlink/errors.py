"""Exceptions of cottonlink.

Every exception has a stable code and carries the step and the peer at which it arose.
"""

from __future__ import annotations

import enum


class Step(enum.StrEnum):
    """Step of the path of a call, or of the control plane."""

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
    """Whether the target ran a request, as far as the node that answers knows."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class CottonlinkError(Exception):
    """Base of all errors.

    ``code`` is stable and documented in ``docs/OPERATIONS.md``. ``peer`` is the name or address
    of the other side, or an empty string for an error that arose inside the process.
    """

    def __init__(self, code: str, detail: str, *, step: Step, peer: str = "") -> None:
        super().__init__(f"{code}: {detail}")
        self.code = code
        self.detail = detail
        self.step = step
        self.peer = peer


class SettingsError(CottonlinkError):
    """The settings file is invalid. ``problems`` lists every fault with its path."""

    def __init__(self, problems: tuple[str, ...], *, peer: str = "") -> None:
        super().__init__("settings_invalid", "; ".join(problems), step=Step.SETTINGS, peer=peer)
        self.problems = problems


class PolicyError(CottonlinkError):
    """A policy record was refused. ``problems`` lists every fault with its path."""

    def __init__(self, code: str, problems: tuple[str, ...], *, peer: str = "") -> None:
        super().__init__(code, "; ".join(problems), step=Step.POLICY_READ, peer=peer)
        self.problems = problems


class CallError(CottonlinkError):
    """A call ended without an answer of its target.

    ``executed`` is ``NO`` only if the target certainly did not run the request.
    ``retry_after_ms`` is the time after which the caller may come back, if that makes sense.
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
