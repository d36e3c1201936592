"""Work left at servers, over all gateways.

A gateway knows its own requests exactly. Those of others come with their load
notices: the work that was left of them when the notice was sent, in ms of a
server of usual pace. What a server does after that is taken off, but for a
part: a request that is not known to have ended may take longer than expected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.serverload import PEER_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.policy.requestcost import CostKey
    from gooseberrypost.policy.serverload import PeerLoad, ServerLoads

MIN_LEFT_SHARE: Final = 0.25
"""Share of the expected work of a request that is left until its answer."""


class SentRequest:
    """A request that was sent to a server and is not answered yet."""

    __slots__ = ("cost_ms", "identity", "key", "sent_s", "wait_ms")

    def __init__(
        self,
        identity: str,
        key: CostKey,
        cost_ms: float,
        wait_ms: float,
        sent_s: float,
    ) -> None:
        self.identity = identity
        self.key = key
        self.cost_ms = cost_ms
        """Expected work."""
        self.wait_ms = wait_ms
        """Expected time in the server's queue."""
        self.sent_s = sent_s


class _PeerWork:
    """Requests of another gateway at one server."""

    __slots__ = ("count", "received_s", "work_ms")

    def __init__(
        self, count: int, work_ms: float | None, received_s: float
    ) -> None:
        self.count = count
        self.work_ms = work_ms
        """None if the gateway does not report it."""
        self.received_s = received_s


class ServerWork:
    """Work left by server identity."""

    __slots__ = ("_loads", "_own", "_peer_servers", "_peers")

    def __init__(self, loads: ServerLoads) -> None:
        self._loads = loads
        self._own: dict[str, list[SentRequest]] = {}
        self._peers: dict[str, dict[str, _PeerWork]] = {}
        """Work by server identity and gateway."""
        self._peer_servers: dict[str, tuple[str, ...]] = {}
        """Servers that each gateway's last notice lists."""

    def start(self, sent: SentRequest) -> None:
        """Count a request that is being sent."""
        self._own.setdefault(sent.identity, []).append(sent)

    def end(self, sent: SentRequest) -> None:
        """Stop counting a request that was answered or has failed."""
        requests = self._own[sent.identity]
        requests.remove(sent)
        if not requests:
            del self._own[sent.identity]

    def update_peer(
        self, gateway: str, received_s: float, loads: Mapping[str, PeerLoad]
    ) -> None:
        """Replace what a gateway reports."""
        for identity in self._peer_servers.pop(gateway, ()):
            peers = self._peers[identity]
            del peers[gateway]
            if not peers:
                del self._peers[identity]
        listed = []
        for identity, load in loads.items():
            if load.outstanding:
                self._peers.setdefault(identity, {})[gateway] = _PeerWork(
                    load.outstanding, load.work_ms, received_s
                )
                listed.append(identity)
        if listed:
            self._peer_servers[gateway] = tuple(listed)

    def count(self, identity: str, now_s: float) -> int:
        """Return the requests of all gateways at a server."""
        self._loads.refresh()
        return self._loads.of(identity).outstanding + sum(
            peer.count
            for peer in self._peers.get(identity, {}).values()
            if now_s - peer.received_s <= PEER_TIMEOUT_S
        )

    def is_idle(self, identity: str, now_s: float) -> bool:
        """Whether no gateway has a request at a server."""
        self._loads.refresh()
        if self._loads.of(identity).outstanding:
            return False
        peers = self._peers.get(identity)
        return not peers or all(
            now_s - peer.received_s > PEER_TIMEOUT_S for peer in peers.values()
        )

    def has_own(self, identity: str) -> bool:
        """Whether this gateway has requests at a server."""
        return identity in self._own

    def own_left_ms(
        self, identity: str, usual_ms: float, pace: float, now_s: float
    ) -> float:
        """Return the work that is left of this gateway's own requests."""
        requests = self._own.get(identity, ())
        left_ms = 0.0
        for sent in requests:
            served_ms = 1_000 * (now_s - sent.sent_s) - sent.wait_ms
            done_ms = pace * served_ms if served_ms > 0 else 0.0
            left_ms += max(
                sent.cost_ms - done_ms, MIN_LEFT_SHARE * sent.cost_ms
            )
        # Requests of other kinds, such as calls to stop one, are few.
        others = self._loads.of(identity).outstanding - len(requests)
        return left_ms + usual_ms * others if others > 0 else left_ms

    def left_ms(
        self, server: Server, usual_ms: float, pace: float, now_s: float
    ) -> float:
        """Return the work left at a server over all gateways.

        ``usual_ms`` stands for each request of a gateway that reports only
        their number.
        """
        self._loads.refresh()
        identity = server.identity
        left_ms = self.own_left_ms(identity, usual_ms, pace, now_s)
        peers = self._peers.get(identity)
        if not peers:
            return left_ms
        oldest_s = now_s - PEER_TIMEOUT_S
        total = self._loads.of(identity).outstanding
        for peer in peers.values():
            total += peer.count
        # With more requests than slots, each waits a part of the time.
        done_per_s = 1_000 * pace * min(1.0, server.slots / max(total, 1))
        for peer in peers.values():
            received_s, work_ms = peer.received_s, peer.work_ms
            if received_s < oldest_s:
                continue
            if work_ms is None:
                left_ms += usual_ms * peer.count
                continue
            least_ms = MIN_LEFT_SHARE * work_ms
            work_ms -= done_per_s * (now_s - received_s) * peer.count
            left_ms += work_ms if work_ms > least_ms else least_ms
        return left_ms

    def reported_usual_ms(self, identities: set[str]) -> float | None:
        """Return the mean work of requests that other gateways report."""
        count, work_ms = 0, 0.0
        for identity in identities & self._peers.keys():
            for peer in self._peers[identity].values():
                if peer.work_ms is not None:
                    count += peer.count
                    work_ms += peer.work_ms
        return work_ms / count if count else None
