"""Decision core of a router: pure logic that maps timed inputs to actions."""
