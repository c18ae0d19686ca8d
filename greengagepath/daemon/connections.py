"""Connections of the tool to the object API and to balancers."""

import itertools
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
from gevent.event import AsyncResult
from result import Err, Ok, Result

from ..configuration.rollout import StoredConfiguration, query_any
from ..foundation.addresses import Address
from ..foundation.object_api import (
    Conflict,
    HttpTransport,
    ObjectClient,
    ObjectKind,
    ObjectOutcome,
    OnOutcome,
    StoredObject,
)
from ..foundation.settings import load_tool_settings, parse_address
from ..foundation.timers import LoopTimerService
from ..foundation.tls import load_tls
from ..foundation.validation import SettingProblem
from ..generated.messages import (
    Configuration,
    ConfigurationDelta,
    LinkError,
    RouteQuery,
    RouteReply,
    StatusQuery,
    StatusReply,
)
from ..generated.settings import (
    LimitSettings,
    ObjectApiSettings,
    ToolSettings,
)
from ..protocol.keys import load_keys
from .links import LinkOptions, exchange_message

CONFIGURATION_NAME = 'current'
_EMPTY = Configuration(version=0, services=[])

# How long the tool waits for the answer of a balancer.
CALL_TIMEOUT_S = 3.0


class ObjectStore:
    """The configuration in the platform's object API."""

    def __init__(
        self, settings: ObjectApiSettings, timers: LoopTimerService
    ) -> None:
        self._client = ObjectClient(
            HttpTransport(settings.url, settings.timeout_s),
            timers,
            random.Random(),
        )

    def read(self) -> Result[StoredConfiguration, str]:
        """Return the stored configuration, or why it cannot be read."""
        outcome = _wait_for_outcome(
            lambda done: self._client.read(
                ObjectKind.CONFIGURATION, CONFIGURATION_NAME, done
            )
        )
        return outcome.map_err(_describe).and_then(_decode)

    def write(
        self, configuration: Configuration, object_version: int
    ) -> Result[None, StoredConfiguration | str]:
        """Write if the object still has `object_version`.

        The error is the configuration stored instead, or a reason; see
        `ConfigurationStore`.
        """
        body = msgspec.to_builtins(configuration)
        outcome = _wait_for_outcome(
            lambda done: self._client.write(
                ObjectKind.CONFIGURATION,
                CONFIGURATION_NAME,
                StoredObject(object_version, body),
                done,
            )
        )
        if isinstance(outcome, Ok):
            return Ok(None)
        failure = outcome.err_value
        if isinstance(failure, Conflict):
            return Err(_decode(failure.current).unwrap_or_else(str))
        return Err(_describe(failure))


class LinkBalancers:
    """Short control links to balancers, one for each message."""

    def __init__(self, options: LinkOptions) -> None:
        self._options = options
        self._query_ids = itertools.count(1)

    def query_status(self, address: Address) -> Result[StatusReply, str]:
        """Return the status that one balancer reports."""
        message = StatusQuery(query_id=next(self._query_ids))
        return self._exchange(address, message).and_then(_expect_status)

    def query_route(
        self, address: Address, service: str, flow_id: int
    ) -> Result[RouteReply, str]:
        """Return where one balancer would send a new flow now."""
        message = RouteQuery(
            query_id=next(self._query_ids), service=service, flow_id=flow_id
        )
        return self._exchange(address, message).and_then(_expect_route)

    def send_delta(
        self, address: Address, delta: ConfigurationDelta
    ) -> Result[None, str]:
        """Send a version to one balancer; it answers with its own."""
        return self._exchange(address, delta).map(lambda _: None)

    def _exchange(
        self, address: Address, message: msgspec.Struct
    ) -> Result[msgspec.Struct, str]:
        answer = exchange_message(
            address, self._options, message, CALL_TIMEOUT_S
        )
        return answer.and_then(_convert_link_error)


class Connections:
    """The object store and the balancers, as commands use them."""

    def __init__(
        self,
        settings: ToolSettings,
        balancers: LinkBalancers,
        timers: LoopTimerService,
    ) -> None:
        self.timers = timers
        self.store = ObjectStore(settings.object_api, timers)
        self.balancers = balancers
        self._balancer_addresses = _parse_addresses(settings.balancers)

    def list_addresses(self) -> list[Address]:
        """Return the control addresses of balancers in the settings."""
        return list(self._balancer_addresses)

    def query_any(self) -> Result[StatusReply, str]:
        """Return the status of the first balancer that answers."""
        return query_any(self.balancers, self._balancer_addresses)


@contextmanager
def open_connections(
    path: Path,
) -> Iterator[Result[Connections, list[SettingProblem]]]:
    """Yield connections for a settings file, or its problems."""
    timers = LoopTimerService()
    timers.start()
    try:
        yield load_tool_settings(path).and_then(
            lambda settings: _connect(settings, timers)
        )
    finally:
        timers.stop()


def _connect(
    settings: ToolSettings, timers: LoopTimerService
) -> Result[Connections, list[SettingProblem]]:
    return _make_link_options(settings).map(
        lambda options: Connections(settings, LinkBalancers(options), timers)
    )


def _make_link_options(
    settings: ToolSettings,
) -> Result[LinkOptions, list[SettingProblem]]:
    keys = load_keys(settings)
    if isinstance(keys, Err):
        return keys
    if settings.tls is None:
        return Ok(LinkOptions(keys.ok_value, LimitSettings()))
    return load_tls(settings.tls).map(
        lambda tls: LinkOptions(keys.ok_value, LimitSettings(), tls)
    )


def _parse_addresses(texts: list[str]) -> list[Address]:
    parsed = (parse_address(text) for text in texts)
    return [address for address in parsed if address is not None]


def _wait_for_outcome(start: Callable[[OnOutcome], None]) -> ObjectOutcome:
    answer: AsyncResult = AsyncResult()
    start(answer.set)
    return answer.get()


def _describe(failure: object) -> str:
    return str(getattr(failure, 'reason', failure))


def _decode(stored: StoredObject) -> Result[StoredConfiguration, str]:
    if stored.version == 0:
        return Ok(StoredConfiguration(0, _EMPTY))
    try:
        configuration = msgspec.convert(stored.body, Configuration)
    except msgspec.ValidationError as error:
        return Err(f'the stored configuration is malformed: {error}')
    return Ok(StoredConfiguration(stored.version, configuration))


def _expect_status(message: msgspec.Struct) -> Result[StatusReply, str]:
    if isinstance(message, StatusReply):
        return Ok(message)
    return Err(f'unexpected answer {type(message).__name__}')


def _expect_route(message: msgspec.Struct) -> Result[RouteReply, str]:
    if isinstance(message, RouteReply):
        return Ok(message)
    return Err(f'unexpected answer {type(message).__name__}')


def _convert_link_error(message: msgspec.Struct) -> Result[msgspec.Struct, str]:
    if isinstance(message, LinkError):
        return Err(message.reason)
    return Ok(message)
