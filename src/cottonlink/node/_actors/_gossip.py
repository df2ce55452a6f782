"""Gossip actor: periodic exchanges, immediate gossip on changes, fetching of newer records."""

from __future__ import annotations

import collections
import contextlib
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pykka

from cottonlink._clock import Clock
from cottonlink.decisions import (
    Accepted,
    Member,
    NewerPolicyFound,
    dump_gossip,
    parse_gossip,
    parse_vm_list,
)
from cottonlink.errors import CottonlinkError, PolicyError
from cottonlink.node._actors._client import ControlClient, parse_json
from cottonlink.node._actors._control_state import ControlState
from cottonlink.node._actors._interfaces import (
    ExchangeEnded,
    FetchEnded,
    FetchPolicy,
    FetchVmList,
    GossipNow,
    NodeControl,
    Refresh,
    Tick,
)
from cottonlink.policy import load_policy

GOSSIP_INTERVAL_MS = 1_000

# A tick later than this means that the process was paused.
PAUSE_THRESHOLD_MS = 2_000

# Exchanges and fetches run in parallel, since each with a dead peer lasts until its timeout.
MAX_PARALLEL_TASKS = 8

# Number of rejected policy records that are remembered by version and digest. Without this a node
# would fetch a record of up to 1 MB each second from each peer that offers it.
MAX_REJECTED_RECORDS = 16


class GossipActor(pykka.ThreadingActor):
    """Exchanges gossip with random peers and fetches their newer policy and VM list."""

    use_daemon_thread = True

    def __init__(
        self, state: ControlState, node: NodeControl, client: ControlClient, clock: Clock
    ) -> None:
        super().__init__()
        self._state = state
        self._node = node
        self._client = client
        self._clock = clock
        self._workers = ThreadPoolExecutor(MAX_PARALLEL_TASKS, thread_name_prefix="gossip")
        self._in_progress: set[str] = set()
        self._refresh_started_ms: int | None = None
        self._fetching_versions: set[int] = set()
        self._fetching_lock = threading.Lock()
        self._last_tick_ms = clock.monotonic_ms()
        self._rejected_records: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=MAX_REJECTED_RECORDS
        )

    def on_receive(self, message: object) -> None:
        """Handle one message; see ``_interfaces``."""
        match message:
            case Tick():
                self._tick()
            case Refresh():
                self._refresh()
            case GossipNow():
                self._exchange_with(self._state.urgent_gossip_peers())
            case ExchangeEnded():
                self._finish_exchange(message)
            case FetchEnded(name):
                self._in_progress.discard(name)
            case FetchPolicy(member, version, digest):
                self._start_fetch(f"policy {version}", self._fetch_policy, member, version, digest)
            case FetchVmList(member, version):
                self._start_fetch(f"vms {version}", self._fetch_vm_list, member, version)

    def on_stop(self) -> None:
        """Discard the exchanges and fetches that have not started yet."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._client.close()

    def _tick(self) -> None:
        now_ms = self._clock.monotonic_ms()
        late_ms = now_ms - self._last_tick_ms - GOSSIP_INTERVAL_MS
        self._last_tick_ms = now_ms
        self._state.expire()
        if late_ms > PAUSE_THRESHOLD_MS:
            self._refresh()
        else:
            self._exchange_with(self._state.gossip_peers())

    def _refresh(self) -> None:
        self._refresh_started_ms = self._clock.monotonic_ms()
        self._exchange_with(self._state.urgent_gossip_peers())

    def _exchange_with(self, peers: tuple[Member, ...]) -> None:
        for peer in peers:
            if (
                peer.control_address in self._in_progress
                or len(self._in_progress) >= MAX_PARALLEL_TASKS
            ):
                continue
            self._in_progress.add(peer.control_address)
            self._workers.submit(self._exchange, peer)

    def _exchange(self, peer: Member) -> None:
        """Run on a worker thread: one exchange, then fetch what the peer has newer."""
        started_ms = self._clock.monotonic_ms()
        answered = False
        try:
            message = dump_gossip(self._state.make_gossip())
            response = self._client.post(peer.control_address, "/v1/gossip", message)
            reply = parse_gossip(parse_json(response, peer.control_address), source=peer.name)
            newer = self._state.receive_gossip(reply)
            answered = True
            for change in newer:
                if isinstance(change, NewerPolicyFound):
                    self._fetch_policy(change.member, change.version, change.digest)
                else:
                    self._fetch_vm_list(change.member, change.version)
        except CottonlinkError as error:
            self._report(error)
        finally:
            self._tell_self(ExchangeEnded(peer, answered, started_ms))

    def _finish_exchange(self, done: ExchangeEnded) -> None:
        self._in_progress.discard(done.member.control_address)
        if not done.answered:
            self._state.peer_failed(done.member)
            return
        self._state.peer_answered(done.member)
        # A reply to an exchange that began before the pause may be as old as the pause is long.
        if self._refresh_started_ms is not None and done.started_ms >= self._refresh_started_ms:
            self._refresh_started_ms = None
            self._node.refreshed()

    def _start_fetch(self, name: str, fetch: Callable[..., None], *arguments: object) -> None:
        if name in self._in_progress or len(self._in_progress) >= MAX_PARALLEL_TASKS:
            return
        self._in_progress.add(name)
        self._workers.submit(self._run_fetch, name, fetch, arguments)

    def _run_fetch(self, name: str, fetch: Callable[..., None], arguments: tuple) -> None:
        """Run on a worker thread: a fetch after a gossip message from a peer."""
        try:
            fetch(*arguments)
        except CottonlinkError as error:
            self._report(error)
        finally:
            self._tell_self(FetchEnded(name))

    def _fetch_policy(self, member: Member, version: int, digest: str) -> None:
        if self._state.policy_version >= version or (version, digest) in self._rejected_records:
            return
        with self._fetching_lock:
            if version in self._fetching_versions:
                return
            self._fetching_versions.add(version)
        try:
            self._download_policy(member, version, digest)
        finally:
            with self._fetching_lock:
                self._fetching_versions.discard(version)

    def _download_policy(self, member: Member, version: int, digest: str) -> None:
        path = f"/v1/policy?min_version={version}"
        response = self._client.get(member.control_address, path)
        if response.status != 200:
            return
        try:
            policy = load_policy(response.body, source=member.name)
        except PolicyError:
            self._rejected_records.append((version, digest))
            raise
        if isinstance(self._state.offer_policy(policy, member.name), Accepted):
            self._tell_self(GossipNow())

    def _fetch_vm_list(self, member: Member, version: int) -> None:
        if self._state.vm_list_version() >= version:
            return
        response = self._client.get(member.control_address, f"/v1/vms?min_version={version}")
        if response.status != 200:
            return
        data = parse_json(response, member.control_address)
        self._state.apply_vm_list(parse_vm_list(data, source=member.name))

    def _report(self, error: CottonlinkError) -> None:
        # An unreachable peer is not an error of its records; the request path reports it.
        if error.code != "control_unreachable":
            self._state.report_error(error)

    def _tell_self(self, message: object) -> None:
        # The actor may have been stopped while a worker was busy.
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(message)
