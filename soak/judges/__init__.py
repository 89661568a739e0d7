"""Judges of the rules: pure functions of a history, one module a rule."""
