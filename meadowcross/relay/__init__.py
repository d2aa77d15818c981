"""Relays: controllers that hold workers' sessions for the leader, which alone decides."""
