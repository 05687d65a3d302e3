"""Randomised soak test: fault injection into real processes on loopback."""
