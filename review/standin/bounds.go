package main

import "time"

// The bounds of the settings that the cases check.
const (
	// drainBound is the bound "drain".
	drainBound = 2 * time.Second
	// contactBound is the bound "contact".
	contactBound = 3 * time.Second
	// graceBound is the bound "grace".
	graceBound = 6 * time.Second
)
