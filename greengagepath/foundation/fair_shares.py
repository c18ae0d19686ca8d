"""Accounting of start-time fair queueing.

Goyal, Vin and Cheng, 1996: each owner of queued work has a start tag in
virtual time, and the owner with the lowest tag is served next.
"""


class StartTag:
    """Start tag of one owner's next piece of work.

    `share` is the owner's weight; `start` is in units of cost for a share
    of 1.
    """

    __slots__ = ('share', 'start')

    def __init__(self, share: float, start: float) -> None:
        self.share = share
        self.start = start


class FairShares:
    """Virtual time of one queue, and the charges to its owners."""

    __slots__ = ('_virtual',)

    def __init__(self) -> None:
        self._virtual = 0.0

    def make_tag(self, share: float) -> StartTag:
        """Return the tag of an owner that has not been charged."""
        return StartTag(share, self._virtual)

    def activate(self, tag: StartTag) -> None:
        """Raise the tag of an owner that has had no work queued.

        An owner gains no claim from the time in which it was idle.
        """
        tag.start = max(tag.start, self._virtual)

    def charge(self, tag: StartTag, cost: float) -> None:
        """Charge an owner for the work that is served next."""
        self._virtual = max(self._virtual, tag.start)
        self.adjust(tag, cost)

    def adjust(self, tag: StartTag, difference: float) -> None:
        """Charge a difference to an earlier cost, negative for a refund."""
        tag.start += difference / tag.share
