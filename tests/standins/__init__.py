"""Fake versions of the services that routers call, as HTTP processes.

`log`, `instances`, `engine` and `bookings` take flags, which `--help` lists,
for example `python -m tests.standins.log --port=8001`. `keyed_store` and
`opaque_target` take positional arguments.
"""
