"""Stand-ins for the systems around the fleet, as HTTP processes.

Run one as `python -m tests.standins.log --port=8001`, or `…engine`,
`…bookings`, `…instances`; `--help` lists the flags.
"""
