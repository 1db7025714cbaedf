"""The sidecar: queues, runs and answers requests beside one backend server."""
