"""The entry: takes callers' requests through the filters and relays the answers."""
