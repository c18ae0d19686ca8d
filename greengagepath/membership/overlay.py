"""Who links to whom: overlay peers, homes of agents, bridges.

All functions are deterministic in the set of members, so that members
with the same view agree without asking each other. Homes follow
rendezvous hashing (Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable

from .hashes import hash_text

# A ring gives each member a successor and a predecessor.
_RING_LINKS = 2


def overlay_peers(
    member_id: str, balancer_ids: Iterable[str], degree: int
) -> frozenset[str]:
    """Return the balancers that this one links to on its own account.

    The ring successor, and chords chosen by hash. Links of other
    balancers to this one bring the average to `degree`.
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
    """Return the members in rendezvous order for the key."""
    return sorted(
        member_ids,
        key=lambda member_id: hash_text(f'{key}/{member_id}'),
    )


def _chord_count(member_id: str, degree: int) -> int:
    # Every chord counts at both ends. With an odd number of chord ends
    # half of the members take one chord more.
    halves, odd = divmod(degree - _RING_LINKS, 2)
    return halves + (odd & hash_text(member_id))
