"""Forwarding of opaque requests from callers straight to backend servers."""
