"""Stand-ins and the harness of the review's cases."""
