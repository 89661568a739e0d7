"""Routing: choice of an endpoint for a stage."""
