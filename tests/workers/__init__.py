"""Tests of `meadowcross.workers`."""
