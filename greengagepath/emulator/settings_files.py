"""Writes the settings files of the processes of a deployment."""

import secrets
from dataclasses import dataclass
from pathlib import Path

import tomli_w

from .processes import LOCAL_HOST

REGION = 'region-1'
KEY_BYTES = 32


@dataclass(slots=True, frozen=True)
class BalancerProcess:
    """Ports and availability zone of a balancer."""

    name: str
    data_port: int
    control_port: int
    status_port: int
    availability_zone: str


@dataclass(slots=True, frozen=True)
class TargetProcess:
    """Ports, zone and relative speed of a target and its agent."""

    name: str
    service_id: int
    back_end_port: int
    data_port: int
    control_port: int
    status_port: int
    availability_zone: str
    speed: float


class SettingsFiles:
    """Writes settings files that share their keys and the platform."""

    def __init__(
        self, folder: Path, platform_port: int, answer_port: int
    ) -> None:
        self._folder = folder
        self._platform_port = platform_port
        self._answer_port = answer_port
        self._key_ids: tuple[int, ...] = ()
        self.use_keys(1)

    def use_keys(self, *key_ids: int) -> None:
        """Use these keys in files written from now on; the first signs.

        Generates the secret of a key that has none yet.
        """
        self._key_ids = key_ids
        for key_id in key_ids:
            path = self._key_path(key_id)
            if not path.exists():
                path.write_text(secrets.token_bytes(KEY_BYTES).hex())

    def write_balancer(self, balancer: BalancerProcess) -> Path:
        """Write the settings of a balancer; return the path."""
        settings = {
            'role': 'balancer',
            'node': _node_settings(balancer),
            **self._shared_settings(),
        }
        return self._write(balancer.name, settings)

    def write_agent(self, target: TargetProcess, slots: int) -> Path:
        """Write the settings of an agent; return the path."""
        settings = {
            'role': 'agent',
            'node': _node_settings(target),
            'target': {
                'service_id': target.service_id,
                'host': LOCAL_HOST,
                'port': target.back_end_port,
                'weight': target.speed,
                'slots': slots,
            },
            **self._shared_settings(),
        }
        return self._write(target.name, settings)

    def write_tool(self, control_ports: list[int]) -> Path:
        """Write the settings of the tool; return the path."""
        addresses = [f'{LOCAL_HOST}:{port}' for port in control_ports]
        settings = {**self._shared_settings(), 'balancers': addresses}
        settings.pop('fabric')
        return self._write('greengagepath', settings)

    def _write(self, name: str, settings: dict[str, object]) -> Path:
        path = self._folder / f'{name}.toml'
        path.write_text(tomli_w.dumps(settings))
        return path

    def _shared_settings(self) -> dict[str, object]:
        keys = [
            {'key_id': key_id, 'secret_file': str(self._key_path(key_id))}
            for key_id in self._key_ids
        ]
        url = f'http://{LOCAL_HOST}:{self._platform_port}'
        return {
            'object_api': {'url': url},
            'fabric': {'host': LOCAL_HOST, 'port': self._answer_port},
            'keys': keys,
        }

    def _key_path(self, key_id: int) -> Path:
        return self._folder / f'tag-{key_id}.key'


def _node_settings(
    process: BalancerProcess | TargetProcess,
) -> dict[str, object]:
    return {
        'member_id': process.name,
        'host': LOCAL_HOST,
        'data_port': process.data_port,
        'control_port': process.control_port,
        'metrics_port': process.status_port,
        'region': REGION,
        'availability_zone': process.availability_zone,
    }
