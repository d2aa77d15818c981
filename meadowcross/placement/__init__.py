"""Placement decisions over a snapshot: scoring, placement, preemption and the descheduler. Pure but for the planner."""
