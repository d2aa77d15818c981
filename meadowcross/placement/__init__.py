"""Pure placement decisions over a snapshot."""
