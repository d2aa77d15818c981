"""Snapshots of the store as files: written by followers, read by a recovery and by operators."""
