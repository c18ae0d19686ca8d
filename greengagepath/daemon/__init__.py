"""The daemon: thin shells of sockets around the decision modules."""
