"""Relays: controllers that answer heartbeats for the leader under a grant; all decisions are made by the leader."""
