"""Simulates whole clusters: controllers, state service, cloud, workers and users share one fake clock.

Tests and operators use it; the controllers themselves never import it. All its figures are of simulated machines.
"""
