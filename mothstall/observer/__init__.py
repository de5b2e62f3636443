"""An observer: a process that relays between keepers and proxies and never votes."""
