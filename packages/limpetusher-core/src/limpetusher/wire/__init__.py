"""Messages between routers and their encoding."""
