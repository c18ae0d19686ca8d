"""Replay windows of the processes that send envelopes."""

from collections import OrderedDict

from ..protocol.tags import MAX_SENDERS, ReplayWindow


class ReplayWindows:
    """One replay window for each sender, at most `max_senders`.

    A new sender evicts the least recently seen one. Replayed datagrams
    of the evicted sender are then accepted; the request table still
    prevents them from running a request again.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self.max_senders = max_senders
        self._windows_by_sender: OrderedDict[int, ReplayWindow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of senders."""
        return len(self._windows_by_sender)

    def accept(self, sender: int, sequence: int) -> bool:
        """Return whether the sequence number is new, and record it."""
        window = self._windows_by_sender.get(sender)
        if window is None:
            if len(self) >= self.max_senders:
                self._windows_by_sender.popitem(last=False)
            window = ReplayWindow()
            self._windows_by_sender[sender] = window
        self._windows_by_sender.move_to_end(sender)
        return window.accept(sequence)
