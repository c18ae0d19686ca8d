"""Group membership, failure detection and dissemination of changes."""
