"""Decision logic of the lentilbeam routers, without I/O or clock access."""
