"""State of the target beside an agent, from what it sends."""
