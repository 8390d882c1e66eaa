"""The stages that a message passes in the engine.  Each stage is a module and keeps only its own state."""
