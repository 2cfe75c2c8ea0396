package lagoonbarrow

import "time"

// InstanceState is the state of an instance in the roster.
type InstanceState uint8

// The states of an instance. Only ready instances receive new work.
const (
	StateUnknown InstanceState = iota
	StateStarting
	StateReady
	StateSuspect
	StateLeaving
	StateLeft
	StateDead
)

var stateNames = [...]string{"unknown", "starting", "ready", "suspect", "leaving", "left", "dead"}

// String returns the state's name.
func (s InstanceState) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[StateUnknown]
	}
	return stateNames[s]
}

// MaxSlots is far above the slots of any backend server. Other programs may write larger
// numbers to the store.
const MaxSlots = 1 << 20

// Instance is the roster's entry for one node and its backend server.
type Instance struct {
	ID          InstanceID    `msgpack:"id" json:"id"`
	Service     ServiceName   `msgpack:"service" json:"service"`
	Zone        Zone          `msgpack:"zone" json:"zone"`
	Region      Region        `msgpack:"region" json:"region"`
	Peer        Address       `msgpack:"peer" json:"peer"`
	Admin       Address       `msgpack:"admin" json:"admin"`
	Slots       int           `msgpack:"slots" json:"slots"`
	Incarnation Incarnation   `msgpack:"incarnation" json:"incarnation"`
	State       InstanceState `msgpack:"state" json:"state"`
}

// Load holds a node's measurements of its own backend server.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`

	Limit   int `msgpack:"limit" json:"limit"`
	Running int `msgpack:"running" json:"running"`
	Queued  int `msgpack:"queued" json:"queued"`
	// SlotTime is the mean time that a request holds a slot at present; 0 if unknown. It is
	// sent beside the array, since nodes without it would refuse a longer one.
	SlotTime time.Duration `msgpack:"-" json:"slot-time,omitempty"`
}
