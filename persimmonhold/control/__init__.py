"""The replicated control state and the process around it."""
