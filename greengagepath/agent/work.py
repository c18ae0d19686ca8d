"""Admitted requests of an agent and the outcomes of their runs."""

from dataclasses import dataclass, field

from ..admission.fair_queue import QueuedRequest
from ..generated.messages import RefusalReason, Request
from .replies import Route
from .request_records import RequestRecord


@dataclass(slots=True)
class Work:
    """An admitted attempt.

    `queued` is its entry in the gate. `started_s` is when its latest run
    started, in time of the timer service. `retries` counts its
    retries so far.
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
        """Deadline of the caller, in time of the timer service."""
        return self.queued.deadline_s

    @property
    def key(self) -> bytes:
        """Id of the attempt in the gate."""
        return self.queued.request_id


@dataclass(slots=True, frozen=True)
class Answered:
    """The back end has answered with an HTTP status."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass(slots=True, frozen=True)
class NotRun:
    """The back end has certainly not run the request.

    `cause` describes it in words. `reason` is sent to the caller:
    the back end shed the request (`queue_full`), no byte of it was sent
    (`no_target`), or it cannot be sent (`bad_request`).
    """

    cause: str
    reason: RefusalReason = RefusalReason.no_target


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """The back end may have run the request."""

    cause: str


RunOutcome = Answered | NotRun | OutcomeUnknown
