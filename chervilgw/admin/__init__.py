"""Operators' interface: ``/admin/v1``."""
