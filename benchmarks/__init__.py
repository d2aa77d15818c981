"""Tools for developers and operators: what the service costs and how far it is from the best possible.

Nothing under `meadowcross/` imports them. They run against the project's own stand-ins on a fake clock,
or on logs; never against a live installation.
"""
