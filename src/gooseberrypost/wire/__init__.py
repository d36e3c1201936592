"""Internal protocol between processes: IDL, codec, client and server."""
