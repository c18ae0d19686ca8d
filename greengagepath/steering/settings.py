"""Settings of the steering daemons, read from one TOML file."""

import socket
from typing import Any

from result import Err, Ok, Result

from ..foundation.addresses import Address
from ..foundation.flat_toml import decode_toml
from ..foundation.logs import LogOptions
from ..pace.cold_limit import ColdBounds
from .messages.peer_messages import ADDRESS_BYTES

MAX_PORT = 65535
# Time in which a configuration has to be in force, in seconds.
DEFAULT_APPLY_LIMIT_S = 3.0
_UNREADABLE = (OSError, ValueError, TypeError, AttributeError)


class ListenAddresses:
    """Addresses on which a process listens; None if it does not.

    `data` receives packets from callers, `target_outbound` packets from
    the target and `heartbeats` the target's heartbeats over HTTP. A
    `metrics_port` of 0 disables the metrics.
    """

    __slots__ = (
        'data',
        'heartbeats',
        'metrics_port',
        'readiness',
        'target_outbound',
    )

    def __init__(self, found: dict[str, Any]) -> None:
        self.metrics_port = int(found['metrics_port'])
        self.data = _parse_address(found['data_address'])
        self.readiness = _parse_address(found['readiness_address'])
        self.heartbeats = _parse_address(found['heartbeat_address'])
        self.target_outbound = _parse_address(found['target_outbound_address'])


class DeploymentBounds:
    """Times and rates that the deployment prescribes.

    `termination_s` is how long a process may run after SIGTERM,
    `flow_lifetime_s` how long a flow may be open, and `evacuate_s` the time
    in which an evacuation has to be in force, 0 if the deployment has none;
    all in seconds. `cold` is None if the rate of cold targets is not
    limited. The platform's adapter sets the last two.
    """

    __slots__ = ('cold', 'evacuate_s', 'flow_lifetime_s', 'termination_s')

    def __init__(self, found: dict[str, Any]) -> None:
        self.termination_s = float(found['termination_s'])
        self.flow_lifetime_s = float(found['flow_lifetime_s'])
        self.evacuate_s = 0.0
        self.cold: ColdBounds | None = None


class SteeringSettings:
    """Identity, addresses and initial peers of a steering daemon.

    Raises KeyError for a missing setting and ValueError, TypeError,
    AttributeError or OSError for an unreadable one.
    """

    __slots__ = (
        'address',
        'availability_zone',
        'bounds',
        'first_start',
        'heartbeat_ms',
        'listening',
        'logs',
        'member_id',
        'peer_ports',
        'seeds',
        'service',
        'store_address',
        'target_address',
    )

    def __init__(self, found: dict[str, Any]) -> None:
        self.logs = LogOptions()
        self.member_id: str = found['member_id']
        self.availability_zone: str = found['availability_zone']
        self.address = socket.inet_pton(socket.AF_INET, found['address'])
        self.listening = ListenAddresses(found)
        self.target_address = _parse_address(found['target_address'])
        self.service: str = found['service']
        first, _, last = found['peer_ports'].partition(',')
        self.peer_ports = (int(first), int(last or first))
        seeds = filter(None, map(_parse_address, found['seeds'].split(',')))
        self.seeds = [socket.inet_aton(host) for host, _ in seeds]
        self.store_address = _parse_address(found['store_address'])
        self.first_start = bool(found['first_start'])
        self.heartbeat_ms = float(found['heartbeat_ms'])
        self.bounds = DeploymentBounds(found)

    @property
    def host(self) -> str:
        """Return the VM's address as text."""
        return format_address(self.address)

    @property
    def balancer_port(self) -> int:
        """Return the UDP port on which balancers receive peer messages."""
        return self.peer_ports[0]

    @property
    def agent_port(self) -> int:
        """Return the UDP port on which agents receive peer messages."""
        return self.peer_ports[0] + 1


def load_steering_settings(path: str) -> Result[SteeringSettings, str]:
    """Return the settings, or a message that names the problem."""
    try:
        # Importing pathlib would take 1 MB that nothing else needs.
        with open(path, 'rb') as opened:  # noqa: PTH123
            return Ok(SteeringSettings(decode_toml(opened.read())))
    except KeyError as error:
        return Err(f'{path}: {error.args[0]} is missing')
    except _UNREADABLE as error:
        return Err(f'{path}: {error}')


def pack_address(host: str) -> bytes | None:
    """Return the 4 bytes of an IPv4 address, None if it is invalid."""
    try:
        return socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError, TypeError):
        # ValueError: a NUL or a lone surrogate in a name of the store.
        return None


def format_address(address: bytes) -> str:
    """Return the dotted text form of a packed IPv4 address."""
    return '.'.join(str(octet) for octet in address[:ADDRESS_BYTES])


def _parse_address(text: str) -> Address | None:
    if not text:
        return None
    host, _, port = text.rpartition(':')
    socket.inet_pton(socket.AF_INET, host)
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f'{text} has no valid port')
    return (host, number)
