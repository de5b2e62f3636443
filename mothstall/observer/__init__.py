"""An observer: a process between keepers and proxies, which never votes."""
