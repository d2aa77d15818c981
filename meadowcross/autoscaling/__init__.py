"""Matches the machines to the work: the cloud's client, scaling out and in, and machines that fail."""
