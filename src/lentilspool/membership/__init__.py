"""Membership: leases, incarnations, leaving and subsets."""
