"""Daemons: the trio shells around the decision code."""
