"""Tests of `meadowcross.store`."""
