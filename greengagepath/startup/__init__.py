"""Fast start of a role: modules from one file instead of many."""
