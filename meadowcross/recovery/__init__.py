"""Recovery of a store that has lost data: noticing it, holding still, and writing back what others still know."""
