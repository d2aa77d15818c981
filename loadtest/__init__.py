"""Scale runs: real controllers beside hollow workers, on one machine, in real time. No node imports it."""
