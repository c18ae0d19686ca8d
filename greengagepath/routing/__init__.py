"""Selection of a target for a new flow."""
