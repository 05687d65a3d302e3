"""The commands: each is a module with a coroutine `run(context)`."""
