"""Randomized fault soak: real gateways as processes, faults from outside."""
