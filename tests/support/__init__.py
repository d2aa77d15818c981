"""Helpers that several tests share, and the checks of the test suite that CI runs."""
