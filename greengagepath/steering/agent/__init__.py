"""An agent, its contacts and what it reports to them."""
