"""A minimal HTTP/1.1 server and client on asyncio."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

# Method, target and body to status and body; None: the answer is lost.
Handler = Callable[[str, str, bytes], Awaitable[tuple[int, bytes] | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Return the first line and the body; the line is empty at the end."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except asyncio.IncompleteReadError:
        return '', b''
    first, *lines = head.split('\r\n')
    length = 0
    for line in lines:
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            length = int(value)
    return first, await reader.readexactly(length)


async def serve(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1 at an address."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                first, body = await read_message(reader)
                if not first:
                    break
                method, target, _ = first.split(' ')
                answer = await handler(method, target, body)
                if answer is None:
                    # The channel returns nothing further.
                    await reader.read()
                    break
                status, text = answer
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        writer.close()

    return await asyncio.start_server(run, *address)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b'',
    limit_s: float = 1.0,
) -> int:
    """Return the status of a call, 0 without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: {address[0]}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            first, _ = await read_message(reader)
            return int(first.split(' ')[1]) if first else 0
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()
