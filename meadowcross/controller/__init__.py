"""One controller process: its parts built, connected, started and stopped."""
