"""Measurements; they are no tests."""
