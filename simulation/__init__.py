"""Whole clusters in simulated time: nodes, store, cloud, workers and users on one fake clock.

A tool for tests and operators' rehearsals; no node imports it. Figures are from simulated machines.
"""
