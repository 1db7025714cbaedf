"""The entry: passes callers' requests through filters and relays the answers."""
