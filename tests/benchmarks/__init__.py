"""Tests of the measuring tools in `benchmarks`."""
