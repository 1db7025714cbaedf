"""Translation between the wire format of the users' platform and chervilgw's types.

Each module decodes or encodes one kind of message and decides nothing. The platform's
names occur only in this folder.
"""
