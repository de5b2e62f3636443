"""The admin server, which serves operators' calls to one proxy."""
