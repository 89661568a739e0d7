"""Experiments on the decision code, with baselines in the same run."""
