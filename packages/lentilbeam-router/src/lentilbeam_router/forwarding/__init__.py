"""Forwards requests as they are, between callers and targets."""
