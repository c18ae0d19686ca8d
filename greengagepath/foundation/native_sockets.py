"""Unpatched, non-blocking UDP sockets for packet loops.

In a process patched by gevent, sockets run Python code around each
call. A loop that waits for its socket with gevent's `wait_read` does
not need that code and avoids its cost here.
"""

import socket

from gevent.monkey import get_original

_NativeSocket = get_original('socket', 'socket')


def open_udp_socket(receive_buffer_bytes: int = 0) -> socket.socket:
    """Return an unbound, non-blocking UDP socket.

    The kernel limits the receive buffer to net.core.rmem_max; 0 keeps
    the default size.
    """
    opened = _NativeSocket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    if receive_buffer_bytes:
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    return opened
