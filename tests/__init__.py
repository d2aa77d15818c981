"""Tests, one package for each package of the source tree, and the helpers in `tests.support`."""
