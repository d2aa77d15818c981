"""Tests of `meadowcross.autoscaling`."""
