"""Handover between two processes of one proxy while a new version is deployed."""
