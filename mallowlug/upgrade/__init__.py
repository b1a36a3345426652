"""Upgrades: two processes of one relay share a state folder and pass the ownership of messages on."""
