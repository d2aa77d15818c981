"""Load tests: real controllers with simulated (hollow) workers on one machine, in real time.

The controllers themselves never import it.
"""
