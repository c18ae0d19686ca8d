"""What a caller passes to a call and gets back from it."""

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
    """Where callers reach a service."""

    service_id: int
    address: Address


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A request to a service.

    `request_id` is 16 B; it identifies the request at its target, and
    all attempts of a call use the same one.
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
    # The target restarted or fell silent while it had the request.
    UNKNOWN_OUTCOME = 'unknown_outcome'
    CANCELLED = 'cancelled'
    # Neither a balancer nor a target has replied before the deadline.
    UNREACHABLE = 'unreachable'
    REQUEST_TOO_LARGE = 'request_too_large'
    ANSWER_TOO_LARGE = 'answer_too_large'
    MALFORMED_ANSWER = 'malformed_answer'


@dataclass(slots=True, frozen=True)
class CallError:
    """A call without an answer.

    With `not_run` the request has certainly not run; otherwise it may
    have run.
    """

    kind: CallErrorKind
    not_run: bool
    reason: RefusalReason | None = None


@unique
class CallDrop(StrEnum):
    """Why a caller dropped a datagram; a label of its counter."""

    MALFORMED = 'malformed'
    WRONG_FLOW = 'wrong_flow'
    WRONG_REQUEST = 'wrong_request'
    LATE_ACCEPT = 'late_accept'
    UNEXPECTED_KIND = 'unexpected_kind'


@dataclass(slots=True, frozen=True)
class CallLimits:
    """Limits and times of calls; times are in seconds."""

    open_timeout_s: float = 0.06
    open_timeout_max_s: float = 1.0
    # After so much silence the flow is probed with PING.
    ping_after_s: float = 0.5
    ping_every_s: float = 0.2
    # So many unanswered PINGs move the flow to a new local port.
    pings_before_move: int = 3
    # After so much silence the target of an idempotent request counts
    # as gone; longer than its balancers need to notice (5 s at most).
    abandon_after_s: float = 4.0
    # A flow that was idle for longer is probed before it gets a request.
    confirm_after_s: float = 0.5
    backoff_s: float = 0.02
    backoff_max_s: float = 1.0
    max_retries: int = 4
    # Redirections from leaving targets, which do not use up the budget.
    max_redirects: int = 3
    max_request_bytes: int = 1048576
    max_answer_bytes: int = 67108864
    transfer: TransferLimits = DEFAULT_LIMITS


class RetryLimiter(Protocol):
    """Limits retries to a share of the requests."""

    def record_request(self) -> None:
        """Count a first attempt."""

    def try_retry(self) -> bool:
        """Return whether one retry is allowed now, and count it."""


@dataclass(slots=True)
class CallSetup:
    """What all calls of a client share."""

    random: Random
    retry_budget: RetryLimiter
    limits: CallLimits = field(default_factory=CallLimits)
    drops: Counter[CallDrop] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
