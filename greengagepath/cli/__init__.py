"""Commands of the `greengagepath` tool, one per module."""
