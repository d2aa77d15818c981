"""Tests of `meadowcross.estimates`."""
