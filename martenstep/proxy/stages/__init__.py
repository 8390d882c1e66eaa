"""What a message passes on its way through the engine: a stage a module, each with its own state and no other's."""
