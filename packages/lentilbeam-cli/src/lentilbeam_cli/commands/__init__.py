"""The commands, one module each, with `run(context)`."""
