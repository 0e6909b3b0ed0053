"""State that lives as long as a request: parsing, authentication and relaying of an answer."""
