"""Decision logic of the lentilbeam routers, without I/O or clock access.

`node` makes the decisions of routers that get slots from one scheduler per
pool. `forwarding` makes those of routers that place requests themselves, from
the load reports of their peers. Types of the same name in both are unrelated.
"""
