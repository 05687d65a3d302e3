"""Forwards callers' HTTP requests to targets and the responses back.

Bodies are forwarded unchanged. Of a response that is an event stream, only the
boundaries and ids of the events are interpreted.
"""
