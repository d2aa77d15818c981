"""Tests of `meadowcross.openjd`."""
