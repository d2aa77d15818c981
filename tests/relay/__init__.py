"""Tests of `meadowcross.relay`."""
