"""Reports, commands and what is proven to be on which machine."""
