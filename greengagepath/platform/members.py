"""Entries of the system's processes in the platform's store."""

from typing import Any

from ..steering.settings import format_address, pack_address
from ..steering.store import Member, MemberRole

MEMBERS = '/objects/greengagepath-members'


def decode_name(entry: Any) -> str:
    """Return the name of an entry, an empty one if it cannot be read."""
    meta = entry.get('meta') if isinstance(entry, dict) else None
    name = meta.get('name') if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ''


def decode_member(entry: Any) -> Member | None:
    """Return the process of an entry, None if it cannot be read."""
    address = pack_address(decode_name(entry))
    spec = entry.get('spec') if isinstance(entry, dict) else None
    role = spec.get('role') if isinstance(spec, dict) else None
    if address is None or not isinstance(role, str) or role not in _ROLES:
        return None
    vouched_era = spec.get('vouched-era')
    if not isinstance(vouched_era, int):
        vouched_era = 0
    member = Member(address, MemberRole(role), vouched_era)
    owner = spec.get('owner')
    member.owner = owner if isinstance(owner, str) else ''
    member.revision = decode_revision(entry)
    return member


def encode_member(member: Member, revision: int) -> dict[str, Any]:
    """Return an entry; a revision of 0 sets no condition."""
    meta: dict[str, Any] = {'name': format_address(member.address)}
    if revision:
        meta['revision'] = revision
    spec = {
        'role': member.role.value,
        'owner': member.owner,
        'vouched-era': member.vouched_era,
    }
    return {'meta': meta, 'spec': spec, 'status': None}


def decode_revision(entry: Any) -> int:
    """Return the revision of an entry, 0 if it has none."""
    meta = entry.get('meta') if isinstance(entry, dict) else None
    revision = meta.get('revision') if isinstance(meta, dict) else None
    return revision if isinstance(revision, int) else 0


def find_member_path(member: Member) -> str:
    """Return the path of a process's entry."""
    return f'{MEMBERS}/{format_address(member.address)}'


_ROLES = frozenset(role.value for role in MemberRole)
