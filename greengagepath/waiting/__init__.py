"""Queue of opening packets for which no target has room; no I/O."""
