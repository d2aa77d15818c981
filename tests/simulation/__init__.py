"""Tests of `simulation`."""
