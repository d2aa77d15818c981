"""Replication of state to followers: a replica of the store in memory, and the leader's hints."""
