"""Stand-ins for the systems around the routers, and development tools that start them."""
