"""Source checks that `make lint` runs."""
