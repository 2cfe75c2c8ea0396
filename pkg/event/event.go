// Package event defines the events of the timeline and their format.
package event

import "time"

// Kind is an entry of the event catalogue.
type Kind struct {
	Number  int
	Name    string
	Meaning string
}

// Fields holds the details of one event. Empty fields are omitted.
type Fields struct {
	Request  string `json:"request,omitempty" msgpack:"request,omitempty"`
	Customer string `json:"customer,omitempty" msgpack:"customer,omitempty"`
	Class    string `json:"class,omitempty" msgpack:"class,omitempty"`
	// ContractVersion is the version of the customer's contract.
	ContractVersion uint64 `json:"contract-version,omitempty" msgpack:"contract-version,omitempty"`
	// Peer is the other instance that the event concerns.
	Peer string `json:"peer,omitempty" msgpack:"peer,omitempty"`
	// Detail is free text.
	Detail string `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Stamp is a reading of a hybrid logical clock: a wall time, and a counter that
// orders events with the same wall time.
type Stamp struct {
	_msgpack struct{} `msgpack:",as_array"`

	Wall    int64  `json:"wall-ns" msgpack:"wall-ns"`
	Counter uint32 `json:"counter" msgpack:"counter"`
}

// Before reports whether s is ordered before other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Counter < other.Counter
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time {
	return time.Unix(0, s.Wall)
}

// Event is one entry of the timeline.
type Event struct {
	Number   int    `json:"number" msgpack:"number"`
	Name     string `json:"name" msgpack:"name"`
	Stamp    Stamp  `json:"stamp" msgpack:"stamp"`
	Instance string `json:"instance" msgpack:"instance"`
	Zone     string `json:"zone" msgpack:"zone"`
	Fields   Fields `json:"fields" msgpack:"fields"`
}
