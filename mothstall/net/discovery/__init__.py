"""The endpoint list: polls and watches of discovery."""
