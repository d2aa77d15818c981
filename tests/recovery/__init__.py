"""Tests of `meadowcross.recovery`."""
