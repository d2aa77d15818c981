"""Runs render-farm job tickets (Open Job Description, 2023-09) as native jobs; docs/tickets.md is the manual."""
