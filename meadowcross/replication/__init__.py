"""What a node that does not lead knows of the cluster: a replica of the store, and the leader's hints."""
