"""Time that each step of a process's start has taken.

The steps go into one log event, `process.started`, so that a slow start
can be read from one line.
"""

import os
import time

EVENT = 'process.started'
_MS_PER_S = 1000
# Position of the start time after the name in /proc/self/stat.
_START_FIELD = 19


class StartSteps:
    """Steps of one start, in the order in which they were completed.

    Times count from the start of the process, in seconds: processor time
    of the process, and wall time including suspension.
    """

    def __init__(self) -> None:
        self._processor_s_by_step: dict[str, float] = {}
        self._wall_s_by_step: dict[str, float] = {}

    def record(self, step: str) -> None:
        """Record that a step is complete; later calls have no effect."""
        if step not in self._wall_s_by_step:
            self._processor_s_by_step[step] = time.process_time()
            self._wall_s_by_step[step] = _read_clock_s()

    def has(self, step: str) -> bool:
        """Return whether a step is complete."""
        return step in self._wall_s_by_step

    def describe(self) -> dict[str, dict[str, float]]:
        """Return `cpu_ms` and `wall_ms`, each by step, for the log."""
        started_s = _read_start_s()
        return {
            'cpu_ms': {
                step: _to_ms(processor_s)
                for step, processor_s in self._processor_s_by_step.items()
            },
            'wall_ms': {
                step: _to_ms(wall_s - started_s)
                for step, wall_s in self._wall_s_by_step.items()
            },
        }


def _read_clock_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _read_start_s() -> float:
    """Return when the process started; its resolution is 10 ms."""
    with open('/proc/self/stat', 'rb') as opened:  # noqa: PTH123
        fields = opened.read().rpartition(b')')[2].split()
    return int(fields[_START_FIELD]) / os.sysconf('SC_CLK_TCK')


def _to_ms(duration_s: float) -> float:
    return round(duration_s * _MS_PER_S, 1)
