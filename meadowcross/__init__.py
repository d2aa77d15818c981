"""meadowcross: a cluster scheduler that keeps its state in a small consistent store."""

__version__ = "0.1.0"
