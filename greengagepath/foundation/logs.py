"""Structured logs: stable event names with fields.

Every record has the event, role and member. `flow_id` is always written
as 16 and `request_id` as 32 hexadecimal digits, so that one search finds
a flow or request in the logs of balancers, agents and callers.
"""

import json
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from ..generated.settings import LogSettings

ROOT_LOGGER = 'greengagepath'
FLOW_ID_DIGITS = 16
MAX_LIMITED_EVENTS = 1000
_US_PER_S = 1000000
_encode_json = json.JSONEncoder(
    ensure_ascii=False, separators=(',', ':'), default=str
).encode


class LogOptions:
    """Default log options for roles that do not load `LogSettings`.

    `level` is the lowest level that is written, `style` is `json` or
    `text`, and `repeats_per_s` limits repeating records per event name.
    """

    __slots__ = ('level', 'repeats_per_s', 'style')

    def __init__(self) -> None:
        self.level = 'INFO'
        self.style = 'json'
        self.repeats_per_s = 100.0


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line."""

    def __init__(self, role: str, member_id: str) -> None:
        super().__init__()
        self._origin = {'role': role, 'member_id': member_id}

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON with the time in UTC."""
        return _encode_json(_describe(record) | self._origin)


class TextFormatter(logging.Formatter):
    """Formats each record as one line of text.

    The line has the time, level, member and event, followed by
    `name=value` pairs.
    """

    def __init__(self, role: str, member_id: str) -> None:
        super().__init__()
        self._origin = f'{role}/{member_id}'

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of text."""
        fields = _describe(record)
        head = [fields.pop('time'), fields.pop('level'), self._origin]
        head.append(str(fields.pop('event')))
        pairs = [f'{name}={_quote(entry)}' for name, entry in fields.items()]
        return ' '.join(head + pairs)


class DroppingStream:
    """Writes lines to a descriptor and drops those that would block.

    A reader that stops reading must not block the process; `dropped`
    counts the lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor

    def write(self, text: str) -> int:
        """Write the text, or drop it if the descriptor would block."""
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, because nothing is buffered."""


class EventRateLimit(logging.Filter):
    """Limits the rate of records marked as repeating, per event name.

    Each event name has a token bucket that holds the records of one
    second. The first record after a suppression has the number of
    suppressed records in the field `suppressed`.
    """

    def __init__(
        self,
        repeats_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._rate = repeats_per_s
        self._clock = clock
        self._buckets_by_event: dict[str, _TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write the record."""
        if not getattr(record, 'repeats', False):
            return True
        bucket = self._find_bucket(record.getMessage())
        if not bucket.try_consume(self._clock(), self._rate):
            return False
        if bucket.suppressed:
            fields = getattr(record, 'fields', {})
            record.fields = fields | {'suppressed': bucket.suppressed}
            bucket.suppressed = 0
        return True

    def suppressed(self, event: str) -> int:
        """Return the number of suppressed records not yet reported."""
        bucket = self._buckets_by_event.get(event)
        return bucket.suppressed if bucket else 0

    def _find_bucket(self, event: str) -> '_TokenBucket':
        if event not in self._buckets_by_event:
            if len(self._buckets_by_event) >= MAX_LIMITED_EVENTS:
                # Event names are constants; reaching the limit is a fault
                # of the program, and the surplus shares one bucket.
                event = 'other'
            capacity = max(self._rate, 1.0)
            self._buckets_by_event.setdefault(
                event, _TokenBucket(capacity, self._clock())
            )
        return self._buckets_by_event[event]


class _TokenBucket:
    __slots__ = ('_capacity', '_filled_s', '_level', 'suppressed')

    def __init__(self, capacity: float, now_s: float) -> None:
        self.suppressed = 0
        self._capacity = capacity
        self._level = capacity
        self._filled_s = now_s

    def try_consume(self, now_s: float, rate: float) -> bool:
        refill = (now_s - self._filled_s) * rate
        self._level = min(self._capacity, self._level + refill)
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
    """Write the package's logs to `stream`, by default standard error.

    Handlers of an earlier call are removed.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter if settings.style == 'json' else TextFormatter
    handler.setFormatter(formatter(role, member_id))
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

    Pass `repeats=True` if a packet from a peer can cause the event, so
    that `repeats_per_s` limits it. `flow_id` is an integer or bytes and
    `request_id` is bytes; both are written as hexadecimal digits.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={'fields': fields, 'repeats': repeats})


def _describe(record: logging.LogRecord) -> dict[str, Any]:
    described: dict[str, Any] = {
        'time': _format_time(record.created),
        'level': record.levelname.lower(),
        'event': record.getMessage(),
    }
    for name, entry in getattr(record, 'fields', {}).items():
        described[name] = _convert_field(name, entry)
    if record.exc_info:
        described['exception'] = logging.Formatter().formatException(
            record.exc_info
        )
    return described


def _format_time(created_s: float) -> str:
    """Return seconds since 1970 in ISO 8601, in UTC and with milliseconds.

    `datetime` would add 1.3 ms to the start of a process.
    """
    seconds, microseconds = divmod(round(created_s * _US_PER_S), _US_PER_S)
    text = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(seconds))
    return f'{text}.{microseconds // 1000:03d}+00:00'


def _convert_field(name: str, entry: Any) -> Any:
    if isinstance(entry, bytes):
        return entry.hex()
    if name == 'flow_id' and isinstance(entry, int):
        return f'{entry:0{FLOW_ID_DIGITS}x}'
    return entry


def _quote(entry: Any) -> str:
    text = str(entry)
    return _encode_json(text) if ' ' in text else text
