"""State machine of an agent that serves the greengagepath protocol."""
