"""A whole fleet on loopback under load and faults."""
