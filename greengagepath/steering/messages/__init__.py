"""Messages between processes and the packets that they carry."""
