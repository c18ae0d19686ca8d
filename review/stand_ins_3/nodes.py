"""Starts the system's own processes by the deploy file."""

import json
import os
import re
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_PLACE = re.compile(r'\{\{([a-z0-9.@-]+)(\|json)?\}\}')
_KEPT = ('PATH', 'HOME', 'LANG')


class Nodes:
    """Processes of the system, by the name of their machine."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        # Role and settings of each machine.
        self._started: dict[str, tuple[str, dict[str, Any]]] = {}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._roles = deploy['roles']

    def start(self, role: str, settings: dict[str, Any]) -> None:
        """Start a role with the fields of its settings file."""
        deployed = self._roles[role]
        name = settings['node-id']
        path = self._write(role, settings)
        self._started[name] = (role, settings)
        kept = {key: os.environ[key] for key in _KEPT if key in os.environ}
        own = {
            key: fill(text, settings) for key, text in deployed['env'].items()
        }
        words = deployed['run'].split(' ')
        with (self._folder / f'{name}.log').open('wb') as log:
            self._processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                env=kept | own | {'GREENGAGEPATH_BOOT': str(path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def change_settings(self, changed: dict[str, Any], share: float) -> None:
        """Write all settings files anew; a share of the nodes get SIGHUP."""
        for role, settings in self._started.values():
            settings.update(changed)
            self._write(role, settings)
        names = list(self._started)
        for name in names[: int(len(names) * share)]:
            self.send(name, signal.SIGHUP)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.send(name, signal.SIGKILL)
        self._processes[name].wait()

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def restart_all(self) -> None:
        """Start all processes again with the settings of now."""
        for role, settings in list(self._started.values()):
            self.start(role, settings | {'first-start': False})

    def kill_all(self) -> None:
        """Kill all processes at once."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def forget(self, name: str) -> int | None:
        """Return the exit code of a process that was stopped, if it ended.

        It no longer counts as one that ends by itself.
        """
        code = self._processes[name].poll()
        if code is not None:
            del self._processes[name]
            del self._started[name]
        return code

    def list_ended(self) -> list[str]:
        """Return the names of the processes that have ended."""
        return [
            name
            for name, process in self._processes.items()
            if process.poll() is not None
        ]

    def find_log(self, name: str, event: str) -> list[str]:
        """Return the lines of a process's log with an event."""
        text = (self._folder / f'{name}.log').read_text(errors='replace')
        return [line for line in text.splitlines() if event in line]

    def stop(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait()

    def _write(self, role: str, settings: dict[str, Any]) -> Path:
        template = (ROOT / self._roles[role]['template']).read_text()
        path = self._folder / f'{settings["node-id"]}.toml'
        path.write_text(fill(template, settings))
        return path


def fill(template: str, settings: dict[str, Any]) -> str:
    """Return a template with the settings in place of its placeholders."""

    def replace(found: re.Match[str]) -> str:
        value = settings.get(found[1])
        if found[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    return _PLACE.sub(replace, template)
