"""HTTP client for the control paths of the stand-ins on 127.0.0.1."""

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
    """Configures the platform and fabric stand-ins.

    Setters raise DeploymentError if the stand-in does not answer 200.
    """

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
        """Replace the list of balancers behind the fabric."""
        listed = msgspec.to_builtins(entries)
        _post(self._fabric_port, 'balancers', listed)

    def read_stored_version(self) -> int:
        """Return the version of the stored configuration.

        It is 0 if there is none or the platform does not answer 200.
        """
        path = '/objects/configuration/current'
        body = fetch(self._platform_port, path)
        return json.loads(body)['body']['version'] if body else 0


def read_runs(back_end_port: int) -> list[Run]:
    """Return the runs that a back end recorded.

    Raises DeploymentError if it does not answer 200.
    """
    body = fetch(back_end_port, '/control/runs')
    if body is None:
        raise DeploymentError(
            f'no answer from the back end at port {back_end_port}'
        )
    return msgspec.json.decode(body, type=list[Run])


def fetch(port: int, path: str, body: bytes | None = None) -> bytes | None:
    """Return the body of a 200 response, or None.

    Sends a POST if there is a `body`, else a GET. A failed connection or
    a timeout of HTTP_TIMEOUT_S gives None too.
    """
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
    """Return the wall-clock time in ms, the clock of `Run.started_ms`."""
    return time.time() * MS_PER_S


def _post(port: int, path: str, payload: object) -> None:
    body = json.dumps(payload).encode()
    if fetch(port, f'/control/{path}', body) is None:
        raise DeploymentError(f'no answer from /control/{path}')
