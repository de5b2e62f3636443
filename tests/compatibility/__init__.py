"""Tests that this version reads the data that earlier versions stored or sent."""
