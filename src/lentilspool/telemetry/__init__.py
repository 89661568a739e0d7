"""Telemetry: JSON logs, metrics and state dumps."""
