"""Configuration: fold of published patches and its spread."""
