"""Modules that all packages use: identifiers and other small types, HTTP, settings, logging and the clock."""
