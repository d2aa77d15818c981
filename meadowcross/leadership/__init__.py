"""Leader election, fencing tokens, messages between controllers, and the term of a leader."""
