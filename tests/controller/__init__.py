"""Tests of `meadowcross.controller`."""
