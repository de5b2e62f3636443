"""The proxy on sockets: one package that turns HTTP into the interface's events and back."""
