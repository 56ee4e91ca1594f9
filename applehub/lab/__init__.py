"""The laboratory: an emulator of the system that the router serves. Not part of the router itself."""
