"""Placement, preemption and descheduling over a snapshot; only the preemption planner keeps state between passes."""
