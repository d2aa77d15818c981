"""Tests of `meadowcross.placement`."""
