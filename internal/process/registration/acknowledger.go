package registration

import (
	"time"

	"lagoonbarrow"
)

// AcknowledgerConfig configures an Acknowledger.
type AcknowledgerConfig struct {
	Registration *Registration
	// Record records a departure where it outlasts the process, or returns ErrUnavailable.
	Record func(departed lagoonbarrow.Departure) error
}

// Acknowledger passes the reports of the backend server on to a Registration. It acknowledges
// that the server leaves only once that is recorded, because the server relies on it even if
// this process is replaced. Work stops before that.
type Acknowledger struct {
	config AcknowledgerConfig
}

var _ lagoonbarrow.HeartbeatHandler = (*Acknowledger)(nil)

// NewAcknowledger returns an acknowledger.
func NewAcknowledger(config AcknowledgerConfig) *Acknowledger {
	return &Acknowledger{
		config: config,
	}
}

// HandleHeartbeat implements lagoonbarrow.HeartbeatHandler.
func (a *Acknowledger) HandleHeartbeat(heartbeat lagoonbarrow.Heartbeat) error {
	if err := a.config.Registration.HandleHeartbeat(heartbeat); err != nil {
		return err
	}
	if heartbeat.State != lagoonbarrow.ServerDraining {
		return nil
	}
	return a.config.Record(lagoonbarrow.Departure{
		Server:  heartbeat.ID,
		Started: heartbeat.Started,
		LeftAt:  time.Now(),
	})
}

// Leave implements lagoonbarrow.HeartbeatHandler.
func (a *Acknowledger) Leave(id lagoonbarrow.ServerID) error {
	return a.config.Record(a.config.Registration.Leave(id))
}
