"""Administration interface for operators: HTTP routes under ``/admin/v1``."""
