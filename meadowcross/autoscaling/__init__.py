"""Machine types, rentals, the machine list, returns and sizing."""
