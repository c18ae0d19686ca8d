"""Arguments, results and settings of calls."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum, unique
from random import Random
from typing import Protocol

from ..generated.messages import RefusalReason
from ..protocol.packets import Address, SizeCode
from ..protocol.transfer import DEFAULT_LIMITS, TransferLimits


@dataclass(slots=True, frozen=True)
class ServiceAddress:
    """Id of a service, and host and UDP port where callers reach it."""

    service_id: int
    address: Address


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A request to a service.

    `request_id` has 16 bytes. It identifies the request at its target,
    and all attempts of a call use the same id. An `idempotent` request
    may run more than once.
    """

    request_id: bytes
    customer_id: int
    method: str
    path: str
    operation: str = ''
    idempotent: bool = False
    size_code: SizeCode = SizeCode.UNKNOWN
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@unique
class CallErrorKind(StrEnum):
    """Why a call ended without an answer."""

    REFUSED = 'refused'
    DEADLINE = 'deadline'
    # The target restarted or stopped responding after the request had
    # been sent to it.
    UNKNOWN_OUTCOME = 'unknown_outcome'
    CANCELLED = 'cancelled'
    # Neither a balancer nor a target replied before the deadline.
    UNREACHABLE = 'unreachable'
    REQUEST_TOO_LARGE = 'request_too_large'
    ANSWER_TOO_LARGE = 'answer_too_large'
    MALFORMED_ANSWER = 'malformed_answer'


@dataclass(slots=True, frozen=True)
class CallError:
    """Why a call ended without an answer.

    If `not_run` is true, the request has certainly not run; otherwise
    it may have run. `reason` is set if `kind` is REFUSED.
    """

    kind: CallErrorKind
    not_run: bool
    reason: RefusalReason | None = None


@unique
class CallDrop(StrEnum):
    """Why a caller dropped a datagram; key of `CallSetup.drops`."""

    MALFORMED = 'malformed'
    WRONG_FLOW = 'wrong_flow'
    WRONG_REQUEST = 'wrong_request'
    LATE_ACCEPT = 'late_accept'
    UNEXPECTED_KIND = 'unexpected_kind'


@dataclass(slots=True, frozen=True)
class CallLimits:
    """Limits of calls; times are in seconds, sizes in bytes."""

    open_timeout_s: float = 0.06
    open_timeout_max_s: float = 1.0
    # Silence after which the flow is probed with PING.
    ping_after_s: float = 0.5
    ping_every_s: float = 0.2
    # Unanswered PINGs after which the flow moves to a new local port.
    pings_before_move: int = 3
    # Silence after which the target of an idempotent request counts as
    # lost; meant to be longer than the balancers need to detect the loss
    # (5 s at most).
    abandon_after_s: float = 4.0
    # A flow that was idle for longer is probed before it carries a request.
    confirm_after_s: float = 0.5
    backoff_s: float = 0.02
    backoff_max_s: float = 1.0
    max_retries: int = 4
    # Redirects from leaving targets, which do not use the retry budget.
    max_redirects: int = 3
    max_request_bytes: int = 1048576
    max_answer_bytes: int = 67108864
    transfer: TransferLimits = DEFAULT_LIMITS


class RetryLimiter(Protocol):
    """Limits retries to a share of the requests, as a `RetryBudget`."""

    def record_request(self) -> None:
        """Count a first attempt."""

    def try_retry(self) -> bool:
        """Return whether a retry is allowed now; if so, count it."""


@dataclass(slots=True)
class CallSetup:
    """Random source, limits and counters shared by the calls of a client.

    `drops` counts dropped datagrams; `events` counts retries, hedges,
    opened flows, socket errors and the like.
    """

    random: Random
    retry_budget: RetryLimiter
    limits: CallLimits = field(default_factory=CallLimits)
    drops: Counter[CallDrop] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
