"""Messages and frames between processes, and the connection that carries them."""
