"""The adapter that hosts the decisions on the simulator's text protocol."""
