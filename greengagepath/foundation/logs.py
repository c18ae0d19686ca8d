"""Structured logs: stable event names with fields.

Every record has the event, role and member; `flow_id` and `request_id`
are always 16 and 32 hexadecimal digits, so that one search follows a
flow or request through balancers, agents and callers.
"""

import json
import logging
import os
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from ..generated.settings import LogSettings

ROOT_LOGGER = 'greengagepath'
FLOW_ID_DIGITS = 16
MAX_LIMITED_EVENTS = 1000
_encode_json = json.JSONEncoder(
    ensure_ascii=False, separators=(',', ':'), default=str
).encode


class LogOptions:
    """Style, lowest level and repeats of one event in a second."""

    __slots__ = ('level', 'repeats_per_s', 'style')

    def __init__(self) -> None:
        self.level = 'INFO'
        self.style = 'json'
        self.repeats_per_s = 100.0


class JsonFormatter(logging.Formatter):
    """One JSON object for each line."""

    def __init__(self, role: str, member_id: str) -> None:
        super().__init__()
        self._origin = {'role': role, 'member_id': member_id}

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON, the time in UTC."""
        return _encode_json(_describe(record) | self._origin)


class TextFormatter(logging.Formatter):
    """Time, level, member and event, then `name=value` pairs."""

    def __init__(self, role: str, member_id: str) -> None:
        super().__init__()
        self._origin = f'{role}/{member_id}'

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of text."""
        fields = _describe(record)
        head = [fields.pop('time'), fields.pop('level'), self._origin]
        head.append(str(fields.pop('event')))
        pairs = [f'{name}={_quote(found)}' for name, found in fields.items()]
        return ' '.join(head + pairs)


class DroppingStream:
    """Writes lines to a descriptor and drops those that would block.

    A reader that stalls must not stall the process; `dropped` counts
    the lines that it missed.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write the text, or drop it."""
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, since nothing is buffered."""


class EventRateLimit(logging.Filter):
    """Limits records marked as repeating, for each event name.

    A token bucket of one second; the first record after a suppression
    carries the number of suppressed ones in the field `suppressed`.
    """

    def __init__(
        self,
        repeats_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._rate = repeats_per_s
        self._clock = clock
        self._buckets_by_event: dict[str, _Bucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be written."""
        if not getattr(record, 'repeats', False):
            return True
        bucket = self._find_bucket(record.getMessage())
        if not bucket.take(self._clock(), self._rate):
            return False
        if bucket.suppressed:
            fields = getattr(record, 'fields', {})
            record.fields = fields | {'suppressed': bucket.suppressed}
            bucket.suppressed = 0
        return True

    def suppressed(self, event: str) -> int:
        """Return how many records of the event wait to be reported."""
        bucket = self._buckets_by_event.get(event)
        return bucket.suppressed if bucket else 0

    def _find_bucket(self, event: str) -> '_Bucket':
        if event not in self._buckets_by_event:
            if len(self._buckets_by_event) >= MAX_LIMITED_EVENTS:
                # Event names are constants; more of them is a fault.
                event = 'other'
            capacity = max(self._rate, 1.0)
            self._buckets_by_event.setdefault(
                event, _Bucket(capacity, self._clock())
            )
        return self._buckets_by_event[event]


class _Bucket:
    __slots__ = ('_capacity', '_filled_s', '_level', 'suppressed')

    def __init__(self, capacity: float, now_s: float) -> None:
        self.suppressed = 0
        self._capacity = capacity
        self._level = capacity
        self._filled_s = now_s

    def take(self, now_s: float, rate: float) -> bool:
        gained = (now_s - self._filled_s) * rate
        self._level = min(self._capacity, self._level + gained)
        self._filled_s = now_s
        if self._level < 1:
            self.suppressed += 1
            return False
        self._level -= 1
        return True


def configure_logs(
    settings: 'LogSettings | LogOptions',
    role: str,
    member_id: str,
    stream: 'TextIO | DroppingStream | None' = None,
) -> None:
    """Send the package's logs to `stream`, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    kind = JsonFormatter if settings.style == 'json' else TextFormatter
    handler.setFormatter(kind(role, member_id))
    handler.addFilter(EventRateLimit(settings.repeats_per_s))
    logger = logging.getLogger(ROOT_LOGGER)
    for previous in tuple(logger.handlers):
        logger.removeHandler(previous)
    logger.addHandler(handler)
    logger.setLevel(str(settings.level).upper())
    logger.propagate = False


def log_event(
    logger: logging.Logger,
    event: str,
    *,
    level: int = logging.INFO,
    repeats: bool = False,
    **fields: Any,
) -> None:
    """Write an event, such as `flow.opened`, with its fields.

    Pass `repeats=True` where a peer can cause the event by packet, so
    that the limit of the settings holds. `flow_id` is an integer or
    bytes, `request_id` is bytes; both are written as hexadecimal.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={'fields': fields, 'repeats': repeats})


def _describe(record: logging.LogRecord) -> dict[str, Any]:
    moment = datetime.fromtimestamp(record.created, UTC)
    described: dict[str, Any] = {
        'time': moment.isoformat(timespec='milliseconds'),
        'level': record.levelname.lower(),
        'event': record.getMessage(),
    }
    for name, found in getattr(record, 'fields', {}).items():
        described[name] = _plain(name, found)
    if record.exc_info:
        described['exception'] = logging.Formatter().formatException(
            record.exc_info
        )
    return described


def _plain(name: str, found: Any) -> Any:
    if isinstance(found, bytes):
        return found.hex()
    if name == 'flow_id' and isinstance(found, int):
        return f'{found:0{FLOW_ID_DIGITS}x}'
    return found


def _quote(found: Any) -> str:
    text = str(found)
    return _encode_json(text) if ' ' in text else text
