"""When the state service has lost data: noticing, holding still, and writing back what others still know."""
