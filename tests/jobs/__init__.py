"""Tests of `meadowcross.jobs`."""
