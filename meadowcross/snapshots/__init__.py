"""Snapshots of the store as files, written by followers and read by a recovery or by operators."""
