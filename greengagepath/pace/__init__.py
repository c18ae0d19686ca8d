"""How much work a target gets while it starts or recovers."""
