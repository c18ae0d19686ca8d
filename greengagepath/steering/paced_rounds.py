"""Sends to many receivers in turn, without bursts."""

from collections.abc import Sequence


class PacedRounds:
    """Tells to whom to send so that each receiver is served in time.

    Sending to all receivers at once fills the link of a small VM, and what
    is sent next is lost.
    """

    __slots__ = ('_credit', '_position', '_taken_s')

    def __init__(self, now_s: float) -> None:
        self._credit = 0.0
        self._position = 0
        self._taken_s = now_s

    def take(
        self, receivers: Sequence[bytes], round_s: float, now_s: float
    ) -> list[bytes]:
        """Return the receivers that are due, of a round of `round_s` s.

        A receiver is returned at most once in a call, however much time
        has passed since the last one.
        """
        count = len(receivers)
        elapsed_s = now_s - self._taken_s
        self._taken_s = now_s
        self._credit = min(self._credit + count * elapsed_s / round_s, count)
        due = int(self._credit)
        self._credit -= due
        start = self._position
        self._position += due
        return [receivers[(start + step) % count] for step in range(due)]
