"""Access to the platform's object API: client, watches and the objects that the system stores."""
