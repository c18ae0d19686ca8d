"""Replay windows of the processes that send envelopes."""

from collections import OrderedDict

from ..protocol.tags import MAX_SENDERS, ReplayWindow


class ReplayWindows:
    """One window for each sender, at most `max_senders`.

    The sender heard from longest ago gives way to a new one. A replay
    of its datagrams would then be let through; the request table still
    keeps it from running anything again.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self.max_senders = max_senders
        self._windows_by_sender: OrderedDict[int, ReplayWindow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of senders."""
        return len(self._windows_by_sender)

    def accept(self, sender: int, sequence: int) -> bool:
        """Return whether the sender's number is new, and remember it."""
        window = self._windows_by_sender.get(sender)
        if window is None:
            if len(self) >= self.max_senders:
                self._windows_by_sender.popitem(last=False)
            window = ReplayWindow()
            self._windows_by_sender[sender] = window
        self._windows_by_sender.move_to_end(sender)
        return window.accept(sequence)
