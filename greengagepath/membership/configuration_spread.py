"""Distribution of configurations to balancers and agents."""

from collections.abc import Callable

from ..configuration.delta import NO_BASE_VERSION
from ..configuration.holder import Applied, ConfigurationHolder, MissingBase
from ..generated.messages import (
    Configuration,
    ConfigurationDelta,
    ConfigurationOffer,
    ConfigurationPull,
    Service,
)
from .peers import Peer, PeerRole, PeerTable
from .ports import LinkService
from .table import MemberTable


class ConfigurationSpread:
    """Applies received configurations and forwards them.

    Balancers get the delta to the previous version, agents only the
    service of their target, and only if it changed. `on_applied` is
    called with each configuration that comes into force.
    """

    def __init__(
        self,
        table: MemberTable,
        peers: PeerTable,
        links: LinkService,
        on_applied: Callable[[Configuration], None],
    ) -> None:
        self.holder = ConfigurationHolder()
        self._table = table
        self._peers = peers
        self._links = links
        self._on_applied = on_applied

    def offer(self, configuration: Configuration) -> None:
        """Apply a complete configuration that the object API returned."""
        outcome = self.holder.offer(configuration)
        if outcome.is_ok():
            self._pass_on(outcome.unwrap(), source_link=None)

    def receive_delta(self, link_id: int, delta: ConfigurationDelta) -> None:
        """Apply a delta; pull the difference if its base is missing."""
        outcome = self.holder.offer_delta(delta)
        if outcome.is_ok():
            self._pass_on(outcome.unwrap(), source_link=link_id)
        elif isinstance(outcome.unwrap_err(), MissingBase):
            self.pull(link_id)
        if self._is_operator(link_id):
            self._links.send(
                link_id, ConfigurationOffer(version=self.holder.version)
            )

    def receive_offer(self, link_id: int, version: int) -> None:
        """Pull a higher version; send the difference to a lower one."""
        if version > self.holder.version:
            self.pull(link_id)
        elif version < self.holder.version:
            self.send_since(link_id, version)
        elif self._is_operator(link_id):
            self._links.send(link_id, ConfigurationOffer(version=version))

    def pull(self, link_id: int) -> None:
        """Request the changes since the version in force."""
        self._links.send(
            link_id, ConfigurationPull(held_version=self.holder.version)
        )

    def send_since(self, link_id: int, held_version: int) -> None:
        """Send the changes since `held_version`, if there are any."""
        delta = self.holder.delta_since(held_version)
        if delta is not None:
            self._links.send(link_id, delta)

    def send_service(self, peer: Peer) -> None:
        """Send an agent the service of its target, if it is configured."""
        service = self._service_of(peer, self.holder.current)
        if service is not None:
            self._links.send(
                peer.link_id,
                ConfigurationDelta(
                    base_version=NO_BASE_VERSION,
                    version=self.holder.version,
                    changed=[service],
                    removed=[],
                ),
            )

    def _pass_on(self, applied: Applied, source_link: int | None) -> None:
        self._on_applied(applied.configuration)
        delta = self.holder.delta_since(applied.previous_version)
        for peer in self._peers.with_role(PeerRole.ZONE, PeerRole.BRIDGE):
            if peer.link_id != source_link and delta is not None:
                self._links.send(peer.link_id, delta)
        changed = [] if delta is None else delta.changed
        changed_ids = {service.service_id for service in changed}
        for peer in self._peers.with_role(PeerRole.AGENT):
            record = self._table.get(peer.member_id)
            if record is not None and record.service_id in changed_ids:
                self.send_service(peer)

    def _service_of(
        self, peer: Peer, configuration: Configuration | None
    ) -> Service | None:
        record = self._table.get(peer.member_id)
        if record is None or configuration is None:
            return None
        return next(
            (
                service
                for service in configuration.services
                if service.service_id == record.service_id
            ),
            None,
        )

    def _is_operator(self, link_id: int) -> bool:
        peer = self._peers.by_link(link_id)
        return peer is not None and peer.role is PeerRole.UNKNOWN
