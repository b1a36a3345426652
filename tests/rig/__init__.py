"""Tests of the rig."""
