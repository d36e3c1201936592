"""Internal protocol between processes: IDL, codec, channel and listener."""
