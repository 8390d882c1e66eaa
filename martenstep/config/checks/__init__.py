"""Checks of a gateway's settings, with one module for each part of the settings."""
