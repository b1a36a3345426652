"""The rig: a world of stand-ins on loopback, a record of all that crosses a socket, a judge of the rules."""
