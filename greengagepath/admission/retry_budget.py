"""Retry budget: limits retries to a share of the requests."""

# Allows a process a few retries before it has sent many requests.
DEFAULT_BURST = 10.0


class RetryBudget:
    """Token bucket to which each request adds `share` of a token.

    `share` is between 0 and 1. `burst` is the capacity of the bucket,
    which is full at the start, or empty if `share` is 0.
    """

    __slots__ = ('_burst', '_share', '_tokens')

    def __init__(self, share: float, burst: float = DEFAULT_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst if share else 0.0

    @property
    def tokens(self) -> float:
        """Tokens in the bucket; each whole one allows a retry."""
        return self._tokens

    def replace_share(self, share: float) -> None:
        """Replace the share; with a share of 0 the bucket is emptied."""
        self._share = share
        self._tokens = min(self._tokens, self._burst if share else 0.0)

    def record_request(self) -> None:
        """Add the share of a token for a first attempt."""
        self._tokens = min(self._tokens + self._share, self._burst)

    def try_retry(self) -> bool:
        """Consume a token; return False if less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
