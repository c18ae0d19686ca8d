"""State and interfaces that the modules of a bridge share."""

from dataclasses import dataclass

from .own_record import OwnRecord
from .peers import PeerTable
from .ports import NodePorts
from .table import MemberTable


@dataclass(slots=True, frozen=True)
class BridgeParts:
    """Member state and node interfaces that a bridge uses."""

    own: OwnRecord
    table: MemberTable
    peers: PeerTable
    ports: NodePorts
