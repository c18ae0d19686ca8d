"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import json
import os
import re
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from .record import Record

ROOT = Path(__file__).parents[2]
PASSED_ON = ('PATH', 'HOME', 'LANG')
RESTART_S = 0.5
_PLACEHOLDER = re.compile(r'\{\{([\w.-]+)(\|json)?\}\}')
BOUNDS = {
    'config-apply-ms': 3000,
    'grace-s': 6,
    'flow-max-s': 60,
    'drain-ms': 3000,
    'recover-s': 12,
    'stable-window-ms': 4000,
}


class Node:
    """One machine: its settings and the process that runs there."""

    def __init__(
        self, record: Record, folder: Path, role: str, fields: dict[str, Any]
    ) -> None:
        self.host: str = fields['ip']
        self.role = role
        self._record = record
        self._fields = dict(fields)
        self._path = folder / f'{fields["node-id"]}.toml'
        self._log = folder / f'{fields["node-id"]}.log'
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, *, is_first: bool = False) -> None:
        """Write the settings and start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles'][self.role]
        self._fields['first-start'] = is_first
        template = (ROOT / role['template']).read_text()
        self._path.write_text(self._fill_in(template))
        environment = {
            name: os.environ[name] for name in PASSED_ON if name in os.environ
        }
        for name, text in role['env'].items():
            environment[name] = self._fill_in(text)
        environment['GREENGAGEPATH_BOOT'] = str(self._path)
        environment['PYTHONPATH'] = 'target/deps'
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write('node.started', host=self.host, role=self.role)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._record.write(
                'node.signal', host=self.host, signal=number.name
            )
            self._process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.01)
        self._record.write('node.ended', host=self.host)

    async def restart(self, number: signal.Signals) -> None:
        """Stop the process by a signal, and start it again when it ended."""
        self.send(number)
        await self.wait_ended()
        await asyncio.sleep(RESTART_S)
        self.start()

    def stop(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def _fill_in(self, template: str) -> str:
        return _PLACEHOLDER.sub(
            lambda found: self._show(found[1], is_json=bool(found[2])),
            template,
        )

    def _show(self, name: str, *, is_json: bool) -> str:
        found: Any = self._fields.get(name)
        if found is None:
            found = self._fields
            for part in name.split('.'):
                found = found.get(part) if isinstance(found, dict) else None
        if is_json:
            return json.dumps(found)
        return '' if found is None else str(found)
