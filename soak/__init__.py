"""A randomised soak of the real programs, with faults from outside them."""
