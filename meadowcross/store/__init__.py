"""Client of the state service: reads, transactions, leases, watches, rate limits and group commit."""
