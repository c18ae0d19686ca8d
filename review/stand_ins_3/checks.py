"""Checks of rules against what endpoints and requesters have seen."""

import asyncio

from .requester import Channel
from .scene import Scene


async def reach(scene: Scene, at_s: float) -> None:
    """Wait until a time of the scene in seconds."""
    await asyncio.sleep(max(at_s - scene.now(), 0))


def find_late_flows(scene: Scene, zone: str, from_s: float) -> list[str]:
    """Return the flows sent after `from_s` that a zone's endpoints took."""
    sent_s = {
        channel.ends: scene.since_start(channel.sent_s)
        for requesters in scene.requesters
        for channel in requesters.channels
    }
    late = []
    taken = 0
    for endpoint in scene.endpoints:
        for at_s, ends in endpoint.took:
            if sent_s[ends] < from_s:
                continue
            taken += 1
            if endpoint.site.zone == zone:
                late.append(
                    f'{scene.since_start(at_s):7.3f} s  EVAC: '
                    f'{endpoint.site.name} in {zone} took the opening packet '
                    f'of {ends[0]}, sent at {sent_s[ends]:.3f} s'
                )
    scene.note(f'flows sent after {from_s:.3f} s that were taken: {taken}')
    return sorted(late)


def find_resets(scene: Scene, channels: list[Channel]) -> list[str]:
    """Return the open flows that the system has reset."""
    broken = []
    opened = [channel for channel in channels if channel.stream is not None]
    scene.note(f'flows that were opened: {len(opened)}')
    for channel in opened:
        holders = [
            endpoint
            for endpoint in scene.endpoints
            if channel.ends in endpoint.flows
        ]
        for at_s, seq, last_ack in channel.system_resets:
            for holder in holders:
                flow = holder.flows[channel.ends]
                if flow.stream is None or flow.opened_s > at_s:
                    continue
                broken.append(
                    f'{scene.since_start(at_s):7.3f} s  FLOW: the flow of '
                    f'{channel.ends[0]}, open at {holder.site.name} since '
                    f'{scene.since_start(flow.opened_s):.3f} s, is reset by '
                    f'the system (seq {seq}, last ack {last_ack})'
                )
    return sorted(broken)
