"""Relays: controllers that answer workers for the leader, under its grant; the leader alone decides."""
