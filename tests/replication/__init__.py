"""Tests of `meadowcross.replication`."""
