"""Limits: admission control, fairness, retries and spend."""
