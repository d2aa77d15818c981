"""The controller process: builds, connects, starts and stops its parts."""
