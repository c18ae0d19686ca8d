"""Decides whether and when a call is retried, without I/O."""

from dataclasses import dataclass

from ..generated.messages import Refusal, RefusalReason
from .call_types import CallError, CallErrorKind, CallSetup

_MS_PER_S = 1000
# The target is leaving or the flow has expired: the call opens a new
# flow at once, to reach another target.
_REDIRECT_REASONS = (RefusalReason.draining, RefusalReason.flow_expired)
# Other targets would refuse for the same reason.
_FINAL_REASONS = (
    RefusalReason.cancelled,
    RefusalReason.bad_request,
    RefusalReason.unknown_service,
)


@dataclass(slots=True, frozen=True)
class BackingOff:
    """The wait before the next attempt, which opens a new flow."""

    until_s: float

    def due_s(self) -> float:
        """Return when the next attempt starts."""
        return self.until_s


class RetryPlan:
    """Counts the retries of one call and decides on the next one.

    `error` is the outcome of the call if no further attempt is made.
    Times are in seconds.
    """

    __slots__ = ('_deadline_s', '_redirects', '_retries', '_setup', 'error')

    def __init__(self, setup: CallSetup, deadline_s: float) -> None:
        self._setup = setup
        self._deadline_s = deadline_s
        self._redirects = 0
        self._retries = 0
        self.error = CallError(CallErrorKind.UNREACHABLE, not_run=True)

    def after_refusal(
        self, refusal: Refusal, now_s: float
    ) -> BackingOff | None:
        """Return the wait before the next attempt; None ends the call."""
        # An earlier attempt of unknown outcome may have run.
        self.error = CallError(
            CallErrorKind.REFUSED,
            not_run=self.error.not_run,
            reason=refusal.reason,
        )
        if refusal.reason in _FINAL_REASONS:
            return None
        if refusal.reason in _REDIRECT_REASONS and self._may_redirect():
            return self.redirect(now_s)
        return self._retry(refusal.retry_after_ms / _MS_PER_S, now_s)

    def after_unknown_outcome(
        self, now_s: float, *, idempotent: bool
    ) -> BackingOff | None:
        """Return the wait before the next attempt; None ends the call."""
        self.error = CallError(CallErrorKind.UNKNOWN_OUTCOME, not_run=False)
        return self._retry(0.0, now_s) if idempotent else None

    def redirect(self, now_s: float) -> BackingOff:
        """Count an attempt that starts at once, outside the retry budget."""
        self._redirects += 1
        self._setup.events['redirects'] += 1
        return BackingOff(now_s)

    def _may_redirect(self) -> bool:
        return self._redirects < self._setup.limits.max_redirects

    def _retry(self, min_delay_s: float, now_s: float) -> BackingOff | None:
        limits = self._setup.limits
        max_backoff_s = min(
            limits.backoff_s * 2**self._retries, limits.backoff_max_s
        )
        delay_s = min_delay_s + self._setup.random.uniform(0.0, max_backoff_s)
        in_time = now_s + delay_s < self._deadline_s
        if not in_time or self._retries >= limits.max_retries:
            return None
        if not self._setup.retry_budget.try_retry():
            self._setup.events['retries_suppressed'] += 1
            return None
        self._retries += 1
        self._setup.events['retries'] += 1
        return BackingOff(now_s + delay_s)
