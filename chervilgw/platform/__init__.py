"""Translation between the users' platform and the product's own types.

Each module decodes or encodes one kind of message; none decides anything. No other
folder knows a name of the platform's.
"""
