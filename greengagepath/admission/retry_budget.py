"""Retry budget: retries are limited to a share of the requests."""

# Lets a quiet process retry a few times before it has seen traffic.
DEFAULT_BURST = 10.0


class RetryBudget:
    """Token bucket that each request fills by `share` of a token.

    `share` is between 0 and 1; `burst` is the most tokens kept, and
    what the bucket starts with unless `share` is 0.
    """

    __slots__ = ('_burst', '_share', '_tokens')

    def __init__(self, share: float, burst: float = DEFAULT_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst if share else 0.0

    @property
    def tokens(self) -> float:
        """Retries that are allowed now."""
        return self._tokens

    def replace_share(self, share: float) -> None:
        """Take a new share from the configuration."""
        self._share = share
        self._tokens = min(self._tokens, self._burst if share else 0.0)

    def record_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._share, self._burst)

    def try_retry(self) -> bool:
        """Take one token; return False if the budget is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
