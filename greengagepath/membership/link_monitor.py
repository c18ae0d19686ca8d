"""Heartbeats on all links, and closing of silent links."""

from ..generated.messages import Heartbeat
from .peers import PeerRole, PeerTable
from .ports import NodePorts


class LinkMonitor:
    """Sends heartbeats and closes links on which nothing arrives.

    `silent_links` counts the links closed for silence.
    """

    def __init__(self, peers: PeerTable, ports: NodePorts) -> None:
        self._peers = peers
        self._ports = ports
        self._sequence = 0
        self.silent_links = 0

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link whose Hello has arrived."""
        self._sequence += 1
        heartbeat = Heartbeat(sequence=self._sequence)
        for peer in self._peers:
            if peer.role is not PeerRole.UNKNOWN:
                self._ports.links.send(peer.link_id, heartbeat)

    def close_silent(self) -> None:
        """Close links that have been silent for `suspect_after_s`."""
        now_s = self._ports.timers.now()
        for peer in self._peers:
            if now_s - peer.last_heard_s >= self._ports.limits.suspect_after_s:
                self.silent_links += 1
                self._ports.links.close(peer.link_id)
