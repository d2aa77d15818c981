"""The user API, and the records of jobs and their tasks."""
