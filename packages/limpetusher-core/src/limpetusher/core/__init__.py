"""Decision core of a router: pure logic that maps messages with their time to actions."""
