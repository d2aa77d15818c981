"""Autoscaling: the cloud's client, scaling out and in, and decommissioning of failed machines."""
