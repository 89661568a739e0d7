"""Pipelines: stages, deadlines, attempts and answers."""
