"""Membership: who exists, who watches whom, and how changes spread."""
