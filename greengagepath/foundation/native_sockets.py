"""Unpatched, non-blocking UDP sockets for packet loops.

In a process patched by gevent, sockets run Python code around each
call. A loop that waits for its socket with gevent's `wait_read` does
not need that code and avoids its cost here.
"""

import socket
import sys


def open_udp_socket(receive_buffer_bytes: int = 0) -> socket.socket:
    """Return an unbound, non-blocking UDP socket.

    The kernel limits the receive buffer to net.core.rmem_max; 0 keeps
    the default size.
    """
    opened = _find_native_class()(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    if receive_buffer_bytes:
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    return opened


def _find_native_class() -> type[socket.socket]:
    """Return the standard library's socket class, also if it is patched.

    Only a process that has loaded `gevent.monkey` can be patched; loading
    it for the question would slow down the start of the others.
    """
    monkey = sys.modules.get('gevent.monkey')
    if monkey is None:
        return socket.socket
    return monkey.get_original('socket', 'socket')
