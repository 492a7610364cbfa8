"""The replicated control state and the code that runs it."""
