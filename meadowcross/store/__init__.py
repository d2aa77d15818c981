"""The state-service client: transactions, holds, watches, budgets, group commit."""
