"""What the parts of a bridge work on."""

from dataclasses import dataclass

from .own_record import OwnRecord
from .peers import PeerTable
from .ports import NodePorts
from .table import MemberTable


@dataclass(slots=True, frozen=True)
class BridgeParts:
    """What a bridge works on."""

    own: OwnRecord
    table: MemberTable
    peers: PeerTable
    ports: NodePorts
