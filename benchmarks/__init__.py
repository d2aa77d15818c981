"""Tools for developers and operators that measure the service's costs and compare its results with the best possible.

Nothing under `meadowcross/` imports them. They read logs, or run against simulated services on a fake clock; they never
connect to a live installation.
"""
