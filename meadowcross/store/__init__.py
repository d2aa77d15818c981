"""The state-service client: reads, transactions, leases, watches, rate limits and group commit."""
