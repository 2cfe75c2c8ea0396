package lagoonbarrow

import (
	"math"
	"time"
)

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Announcement is what a backend server says about itself in its answers. Nodes pass it
// on to each other with calls and answers.
type Announcement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Server ServerID `msgpack:"server"`
	// Started is the start time of the server, which may start again under its id.
	Started time.Time `msgpack:"started"`
	// Limited is set while the server names a limit, which is Limit.
	Limited bool `msgpack:"limited"`
	// Limit bounds the requests that the server accepts from all nodes together.
	Limit RequestsPerSecond `msgpack:"limit"`
	// Usage is the fraction of Limit that the node beside the server sees in use. It
	// exceeds 1 while calls wait.
	Usage float64 `msgpack:"usage"`
	// Leaving is set once the server has announced that it leaves.
	Leaving bool `msgpack:"leaving"`
	// Malformed is set if the answer names a limit that can't be read.
	Malformed bool `msgpack:"-"`
}

// Valid reports whether the numbers can be compared with others. Those of another node need
// not be.
func (a *Announcement) Valid() bool {
	return isAmount(float64(a.Limit)) && isAmount(a.Usage)
}

// isAmount reports whether a number is finite and not negative. It is not for NaN.
func isAmount(number float64) bool {
	return number >= 0 && !math.IsInf(number, 1)
}

// IsFrom reports whether the announcement was made in the given lifetime of a server.
func (a *Announcement) IsFrom(server ServerID, started time.Time) bool {
	return a.Server == server && a.Started.Equal(started)
}
