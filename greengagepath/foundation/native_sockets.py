"""Non-blocking UDP sockets for loops that wait by themselves.

The sockets of a process patched by gevent run Python code around each
call; a loop that waits for its socket with `wait_read` does not need it.
"""

import socket

from gevent.monkey import get_original

_NativeSocket = get_original('socket', 'socket')


def open_udp_socket(receive_buffer_bytes: int = 0) -> socket.socket:
    """Return an unbound, non-blocking socket.

    The kernel limits the buffer to net.core.rmem_max; 0 leaves it as
    it is.
    """
    opened = _NativeSocket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    if receive_buffer_bytes:
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    return opened
