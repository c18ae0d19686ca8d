"""Control paths of the stand-ins, over HTTP on 127.0.0.1."""

import json
import time
from http.client import HTTPConnection, HTTPException

import msgspec

from .backend import Run
from .fabric import BalancerEntry
from .http_server import STATUS_OK
from .processes import LOCAL_HOST, DeploymentError

HTTP_TIMEOUT_S = 3.0
HTTP_OK = int(STATUS_OK.split()[0])
MS_PER_S = 1000


class ControlClient:
    """Faults and figures of the platform and the fabric."""

    def __init__(self, platform_port: int, fabric_port: int) -> None:
        self._platform_port = platform_port
        self._fabric_port = fabric_port

    def set_platform_faults(self, **faults: object) -> None:
        """Replace the faults of the object API; see `platform.Faults`."""
        _post(self._platform_port, 'faults', faults)

    def set_fabric_faults(self, **faults: object) -> None:
        """Replace the faults of the fabric; see `fabric.FabricFaults`."""
        _post(self._fabric_port, 'faults', faults)

    def set_balancers(self, entries: list[BalancerEntry]) -> None:
        """Tell the fabric which balancers there are."""
        listed = msgspec.to_builtins(entries)
        _post(self._fabric_port, 'balancers', listed)

    def read_stored_version(self) -> int:
        """Return the version in the stored configuration, 0 if none."""
        path = '/objects/configuration/current'
        body = fetch(self._platform_port, path)
        return json.loads(body)['body']['version'] if body else 0


def read_runs(back_end_port: int) -> list[Run]:
    """Return the runs that a back end counted; raises DeploymentError."""
    body = fetch(back_end_port, '/control/runs')
    if body is None:
        raise DeploymentError(f'the back end at port {back_end_port} is gone')
    return msgspec.json.decode(body, type=list[Run])


def fetch(port: int, path: str, body: bytes | None = None) -> bytes | None:
    """Return the body of a 200 answer, or None; `body` makes it a POST."""
    connection = HTTPConnection(LOCAL_HOST, port, timeout=HTTP_TIMEOUT_S)
    try:
        connection.request('POST' if body else 'GET', path, body)
        answer = connection.getresponse()
        content = answer.read()
    except (OSError, HTTPException):
        return None
    finally:
        connection.close()
    return content if answer.status == HTTP_OK else None


def now_ms() -> float:
    """Return wall-clock milliseconds, as back ends record them."""
    return time.time() * MS_PER_S


def _post(port: int, path: str, payload: object) -> None:
    body = json.dumps(payload).encode()
    if fetch(port, f'/control/{path}', body) is None:
        raise DeploymentError(f'no answer from /control/{path}')
