"""The other entry processes: their list, their activity, and the pace of messages."""
