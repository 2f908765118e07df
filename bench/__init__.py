"""Load generator, experiments and simulated test fleets."""
