"""Encoding of the messages between processes, with the generated code."""
