"""HTTP/1.1 over asyncio streams: one call a connection."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

Address = tuple[str, int]
Answer = tuple[int, Any]
Handler = Callable[[str, str, Any], Awaitable[Answer]]


async def call(
    address: Address,
    method: str,
    path: str,
    body: Any = None,
    limit_s: float = 1.0,
) -> int:
    """Return the status of the answer, 0 without one in time."""
    try:
        async with asyncio.timeout(limit_s):
            return await _exchange(address, method, path, body)
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0


async def _exchange(address: Address, method: str, path: str, body: Any) -> int:
    reader, writer = await asyncio.open_connection(*address)
    try:
        content = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        writer.write(head.encode() + content)
        line = await reader.readline()
        status = int(line.split()[1])
        await reader.read()
        return status
    finally:
        writer.close()


async def serve(address: Address, handler: Handler) -> asyncio.Server:
    """Serve calls; the handler gets method, path and decoded body."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        errors = (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        )
        with contextlib.suppress(*errors):
            while await _answer_next(reader, writer, handler):
                continue
        writer.close()

    return await asyncio.start_server(answer, *address, limit=1 << 21)


async def _answer_next(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> bool:
    line = await reader.readline()
    if not line:
        return False
    method, path, _ = line.decode().split()
    length = 0
    while (header := await reader.readline()).strip():
        name, _, found = header.decode().partition(':')
        if name.lower() == 'content-length':
            length = int(found)
    content = await reader.readexactly(length)
    body = json.loads(content) if content else None
    status, found = await handler(method, path, body)
    encoded = json.dumps(found).encode()
    head = (
        f'HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(encoded)}\r\n\r\n'
    )
    writer.write(head.encode() + encoded)
    await writer.drain()
    return True
