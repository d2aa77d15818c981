"""Tests of meadowcross.leadership."""
