"""Authentication tags of datagrams and frames between processes.

The tag is BLAKE2b with a key, cut to 16 B (RFC 7693). The first key of
a ring signs, all keys that have not expired verify, so that a key is
rotated by adding the new one everywhere before it moves to the front.
"""

import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

TAG_BYTES = 16
KEY_BYTES = 32
REPLAY_WINDOW_BITS = 1024
MAX_SENDERS = 10000


@dataclass(slots=True, frozen=True)
class Key:
    """A secret shared by the processes of the system.

    `not_after_s` is wall-clock time in seconds since the epoch.
    """

    key_id: int
    secret: bytes
    not_after_s: float | None = None


class KeyRing:
    """Signs with its first key and verifies with any valid one.

    `wall_clock` returns seconds since the epoch. Raises ValueError for
    an empty ring or a secret of the wrong length.
    """

    def __init__(
        self, keys: Iterable[Key], wall_clock: Callable[[], float]
    ) -> None:
        self._wall_clock = wall_clock
        # Increases whenever the keys are replaced.
        self.generation = 0
        self.replace_keys(keys)

    def replace_keys(self, keys: Iterable[Key]) -> None:
        """Replace all keys; the first one signs.

        Raises ValueError like the constructor.
        """
        ordered = tuple(keys)
        if not ordered:
            raise ValueError('a key ring needs at least one key')
        for key in ordered:
            if len(key.secret) != KEY_BYTES:
                raise ValueError(
                    f'the secret of key {key.key_id} must have {KEY_BYTES} B'
                )
        self._keys_by_id = {entry.key_id: entry for entry in ordered}
        # Copying a keyed hash takes a third less time for a short tag.
        self._hashes_by_id = {
            entry.key_id: blake2b(digest_size=TAG_BYTES, key=entry.secret)
            for entry in ordered
        }
        self.signing_key_id = ordered[0].key_id
        self.generation += 1

    def tag_starter(self) -> Callable[[], 'blake2b']:
        """Return a function that starts a tag with the signing key.

        The function keeps this key when the keys are replaced.
        """
        return self._hashes_by_id[self.signing_key_id].copy

    def sign(self, *chunks: bytes) -> bytes:
        """Return the 16 B tag of the joined chunks."""
        return _finish_tag(self.tag_starter()(), chunks)

    def verify(self, key_id: int, tag: bytes, *chunks: bytes) -> bool:
        """Return whether the tag is right and its key known and not expired."""
        known = self._hashes_by_id.get(key_id)
        if known is None or self.is_expired(key_id):
            return False
        return hmac.compare_digest(_finish_tag(known.copy(), chunks), tag)

    def expired_key_ids(self) -> frozenset[int]:
        """Return the ids of the keys in the ring that have expired."""
        return frozenset(
            key_id for key_id in self._keys_by_id if self.is_expired(key_id)
        )

    def is_expired(self, key_id: int) -> bool:
        """Return whether the key is in the ring and has expired."""
        key = self._keys_by_id.get(key_id)
        if key is None or key.not_after_s is None:
            return False
        return self._wall_clock() > key.not_after_s


class ReplayWindow:
    """Accepts each sequence number of a sender once.

    Numbers more than `REPLAY_WINDOW_BITS` below the highest one seen
    are refused, because their bits are no longer kept.
    """

    __slots__ = ('_bits', '_highest')

    def __init__(self) -> None:
        self._highest = -1
        self._bits = 0

    def accept(self, sequence: int) -> bool:
        """Return whether the number is new, and record it."""
        if sequence > self._highest:
            shift = min(sequence - self._highest, REPLAY_WINDOW_BITS)
            self._bits = (self._bits << shift) & _WINDOW_MASK | 1
            self._highest = sequence
            return True
        age = self._highest - sequence
        if age >= REPLAY_WINDOW_BITS or self._bits >> age & 1:
            return False
        self._bits |= 1 << age
        return True


_WINDOW_MASK = (1 << REPLAY_WINDOW_BITS) - 1


def compute_tag(secret: bytes, *chunks: bytes) -> bytes:
    """Return the keyed BLAKE2b tag of the joined chunks."""
    return _finish_tag(blake2b(digest_size=TAG_BYTES, key=secret), chunks)


def _finish_tag(keyed: 'blake2b', chunks: tuple[bytes, ...]) -> bytes:
    for chunk in chunks:
        keyed.update(chunk)
    return keyed.digest()
