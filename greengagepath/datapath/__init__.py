"""Packet processing of a balancer for the product's own protocol."""
