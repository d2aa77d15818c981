"""Workers: their heartbeats, the commands to them, and the tasks that are proven to be on each machine."""
