"""Two processes of one relay on one folder: who owns the messages, and how that passes on."""
