"""Pictures of the store kept on a disk, where the operators name a directory: the last source when all else is gone."""
