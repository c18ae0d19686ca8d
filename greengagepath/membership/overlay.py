"""Overlay topology: overlay peers and rendezvous ranking.

All functions are deterministic in the set of members, so that members
with the same view agree without communication. Homes of agents and
bridges are chosen by rendezvous hashing (Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable

from .hashes import hash_text

# A ring gives each member a successor and a predecessor.
_RING_LINKS = 2


def overlay_peers(
    member_id: str, balancer_ids: Iterable[str], degree: int
) -> frozenset[str]:
    """Return the balancers to which this one opens links.

    These are its ring successor and chords chosen by hash. Together with
    the links that other balancers open to it, the average number of
    links per balancer is `degree`. With at most `degree` other balancers
    all of them are returned.
    """
    others = frozenset(balancer_ids) - {member_id}
    if len(others) <= degree:
        return others
    chords = rank_by_hash(member_id, others - {successor(member_id, others)})
    return frozenset(
        (
            successor(member_id, others),
            *chords[: _chord_count(member_id, degree)],
        )
    )


def successor(member_id: str, others: Iterable[str]) -> str:
    """Return the next member on the ring of hashed ids.

    Raises ValueError if there are no others.
    """
    own = hash_text(member_id)
    return min(
        others,
        key=lambda other: (
            hash_text(other) < own,
            hash_text(other),
        ),
    )


def predecessor(member_id: str, others: Iterable[str]) -> str:
    """Return the member whose successor is this one.

    Raises ValueError if there are no others.
    """
    own = hash_text(member_id)
    return max(
        others,
        key=lambda other: (
            hash_text(other) < own,
            hash_text(other),
        ),
    )


def rank_by_hash(key: str, member_ids: Iterable[str]) -> list[str]:
    """Return the members in rendezvous order for the key, best first."""
    return sorted(
        member_ids,
        key=lambda member_id: hash_text(f'{key}/{member_id}'),
    )


def _chord_count(member_id: str, degree: int) -> int:
    # Every chord counts at both ends. If the number of chord ends per
    # member is odd, half of the members open one chord more.
    halves, odd = divmod(degree - _RING_LINKS, 2)
    return halves + (odd & hash_text(member_id))
