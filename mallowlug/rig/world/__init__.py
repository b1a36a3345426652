"""The simulated environment of relays: scenarios, random draws, clients, endpoints and the platform."""
