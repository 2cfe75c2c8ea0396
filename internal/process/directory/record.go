// Package directory tracks the instances of all services. Each node keeps one row for
// its instance in the platform's store, and all nodes follow the changes of these rows.
package directory

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Table is the name of the table with the rows of all instances. A row's key is the
// instance's id.
const Table = "lagoonbarrow-instances"

// record is the value of an instance's row.
type record struct {
	Service lagoonbarrow.ServiceName `json:"service"`
	Zone    lagoonbarrow.Zone        `json:"zone"`
	Region  lagoonbarrow.Region      `json:"region"`
	Peer    lagoonbarrow.Address     `json:"peer"`
	Slots   int                      `json:"slots"`
	State   string                   `json:"state"`
	Server  lagoonbarrow.ServerID    `json:"server"`
	// ServerStarted is the start time of the server in Unix milliseconds, if it has left and
	// its start time is known.
	ServerStarted int64 `json:"server-started,omitempty"`
	ServerLeft    bool  `json:"server-left,omitempty"`
	// ServerLeftAt is when all runs of the server have left, in Unix milliseconds, if the
	// server has said so.
	ServerLeftAt int64 `json:"server-left-at,omitempty"`
}

// Server is the backend server of a row.
type Server struct {
	ID lagoonbarrow.ServerID
	// Started is the start time of the server, or zero if it isn't known.
	Started time.Time
	// Left is set when the server has announced that it leaves, or has left.
	Left bool
	// AllLeftAt is when the server has named its id only, so that all of its runs have left. It
	// is zero otherwise.
	AllLeftAt time.Time
}

// Encode returns the value of an instance's row. The server id is different for each
// start of the backend server.
func Encode(instance lagoonbarrow.Instance, server Server) ([]byte, error) {
	serverStarted, serverLeftAt := int64(0), int64(0)
	if server.Left {
		serverStarted = unixMilliseconds(server.Started)
		serverLeftAt = unixMilliseconds(server.AllLeftAt)
	}
	value, err := json.Marshal(record{
		Service:       instance.Service,
		Zone:          instance.Zone,
		Region:        instance.Region,
		Peer:          instance.Peer,
		Slots:         instance.Slots,
		State:         instance.State.String(),
		Server:        server.ID,
		ServerStarted: serverStarted,
		ServerLeft:    server.Left,
		ServerLeftAt:  serverLeftAt,
	})
	return value, errors.Wrap(err, "directory: encode row")
}

// DecodeServer returns the backend server of a row, with its start time if it has left. It
// returns ErrInvalid if the row can't be decoded.
func DecodeServer(row lagoonbarrow.Row) (Server, error) {
	var decoded record
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return Server{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "directory: decode row: %v", err)
	}
	return Server{
		ID:        decoded.Server,
		Started:   fromUnixMilliseconds(decoded.ServerStarted),
		Left:      decoded.ServerLeft,
		AllLeftAt: fromUnixMilliseconds(decoded.ServerLeftAt),
	}, nil
}

// unixMilliseconds returns a time in Unix milliseconds, or 0 for the zero time.
func unixMilliseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMilliseconds returns a time, which is the zero time for 0.
func fromUnixMilliseconds(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// decode returns the instance of a row. It returns ErrInvalid if the row does not
// describe a usable instance, because other writers may write invalid rows.
func decode(row lagoonbarrow.Row) (lagoonbarrow.Instance, error) {
	var decoded record
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return lagoonbarrow.Instance{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "directory: decode row: %v", err)
	}
	if row.Key == "" || decoded.Service == "" {
		return lagoonbarrow.Instance{}, errors.Wrap(lagoonbarrow.ErrInvalid, "directory: row lacks a field")
	}
	if !decoded.Peer.Valid() {
		return lagoonbarrow.Instance{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "directory: address %q", decoded.Peer)
	}
	if decoded.Slots < 1 || decoded.Slots > lagoonbarrow.MaxSlots {
		return lagoonbarrow.Instance{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "directory: %d slots", decoded.Slots)
	}
	state := lagoonbarrow.StateLeaving
	switch decoded.State {
	case lagoonbarrow.StateReady.String():
		state = lagoonbarrow.StateReady
	case lagoonbarrow.StateLeft.String():
		state = lagoonbarrow.StateLeft
	}
	return lagoonbarrow.Instance{
		ID:      lagoonbarrow.InstanceID(row.Key),
		Service: decoded.Service,
		Zone:    decoded.Zone,
		Region:  decoded.Region,
		Peer:    decoded.Peer,
		Slots:   decoded.Slots,
		State:   state,
	}, nil
}
