"""Commands of the tool, one for each module."""
