"""Tests of `loadtest`."""
