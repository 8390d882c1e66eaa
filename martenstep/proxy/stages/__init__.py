"""What a request passes on its way through the engine, one way: a stage a file, each with its own state and no other's.

May live here: small classes that the engine asks in order.  They know no ticket, no timer and no other stage.
"""
