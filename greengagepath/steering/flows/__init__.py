"""Open flows at an agent: held, searched, lost."""
