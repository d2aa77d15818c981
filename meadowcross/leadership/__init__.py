"""Who may give commands: election, token, peer link, the leader's term."""
