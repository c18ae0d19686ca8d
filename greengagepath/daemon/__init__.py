"""The daemon: sockets, signals and processes around the decision modules."""
