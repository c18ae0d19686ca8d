"""Builders of the platform's objects, heartbeats and packets."""

import json
import struct
from typing import Any

from greengagepath.steering.settings import DeploymentBounds


def make_configuration(version: Any = 7) -> dict[str, Any]:
    """Return an operator's configuration with three kinds of route."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-split',
                'host': '198.18.0.1',
                'path-prefix': '/8443/',
                'type': 'safe',
                'timeout-ms': 800,
                'target-latency-ms': 143,
                'priority': 2,
                'backends': [
                    {'service': 'huvo11a', 'weight': 90},
                    {'service': 'wuno96b', 'weight': 10},
                ],
                'max-attempts': 2,
            },
            {
                'name': 'r-plain',
                'host': '198.18.0.2',
                'path-prefix': '/8443/',
                'type': 'download',
                'timeout-ms': 3000,
                'target-latency-ms': 505,
                'priority': 1,
                'service': 'wuno96b',
            },
        ],
        'services': [{'name': 'huvo11a'}, {'name': 'wuno96b'}],
        'limits': {'idle-timeout-ms': 15000},
    }


def make_bounds() -> DeploymentBounds:
    """Return the bounds of a deployment without evacuations."""
    return DeploymentBounds({'termination_s': 6, 'flow_lifetime_s': 60})


def make_heartbeat_body(**changed: Any) -> bytes:
    """Return a heartbeat; a value of None removes the field."""
    fields = {
        'service': 'huvo11a',
        'address': '10.128.0.9:8080',
        'zone': 'taipei-a',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'sequence': 4,
        'born': 1700000000000,
    } | changed
    present = {
        name: found for name, found in fields.items() if found is not None
    }
    return json.dumps(present).encode()


def make_object(
    name: str, spec: Any, revision: int = 5, status: Any = None
) -> dict[str, Any]:
    """Return an object of the store."""
    meta = {
        'name': name,
        'revision': revision,
        'created': 1,
        'finalizers': [],
        'delete-pending': False,
    }
    return {'meta': meta, 'spec': spec, 'status': status}


SYN = 16
ACK = 64
FIN = 4


def make_packet(
    source: tuple[bytes, int],
    destination: tuple[bytes, int],
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b'',
) -> bytes:
    """Return a packet of the platform; its checksum is left at 0."""
    header = struct.pack(
        '>HIIIIHH4s4sB',
        len(payload),
        0,
        0,
        sequence,
        acknowledged,
        source[1],
        destination[1],
        destination[0],
        source[0],
        flags,
    )
    return b''.join((header, payload))
