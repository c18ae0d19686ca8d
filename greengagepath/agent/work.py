"""A request that an agent has admitted, and how its run ended."""

from dataclasses import dataclass, field

from ..admission.fair_queue import QueuedRequest
from ..generated.messages import RefusalReason, Request
from .replies import Route
from .request_records import RequestRecord


@dataclass(slots=True)
class Work:
    """An admitted attempt.

    `queued` is its entry in the gate. `retries` counts runs that the
    back end turned down.
    """

    route: Route
    request: Request
    record: RequestRecord
    queued: QueuedRequest
    started_s: float = 0.0
    retries: int = 0
    is_cancelled: bool = False

    @property
    def deadline_s(self) -> float:
        """When the caller gives up, in time of the timer service."""
        return self.queued.deadline_s

    @property
    def key(self) -> bytes:
        """The id of the attempt in the gate."""
        return self.queued.request_id


@dataclass(slots=True, frozen=True)
class Answered:
    """The back end has answered."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(slots=True, frozen=True)
class NotRun:
    """The back end has certainly not run the request.

    `reason` is what the caller is told: that the back end shed it, that
    no connection took any byte of it, or that it cannot be sent.
    """

    cause: str
    reason: RefusalReason = RefusalReason.no_target


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """The back end may have run the request."""

    cause: str


RunOutcome = Answered | NotRun | OutcomeUnknown
