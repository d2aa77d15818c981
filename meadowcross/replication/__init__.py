"""What a node that does not lead knows of the cluster: a picture of the store, and what the leader tells."""
