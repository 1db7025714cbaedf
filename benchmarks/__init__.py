"""Measurements; they print ratios against a baseline of the same run."""
