"""Tests of `meadowcross.common`."""
