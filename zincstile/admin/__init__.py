"""What operators say: the control door's HTTP/1.1 calls, the state they drive, and its hand-over. No I/O."""
