"""Recovery of a store that has lost data: detect the loss, stop serving, collect the remaining data, write it back."""
