"""Predicts run times of tasks and completion times of jobs from earlier runs (docs/estimates.md)."""
