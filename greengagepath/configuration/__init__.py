"""Configuration: generation, checks, files and versions."""
