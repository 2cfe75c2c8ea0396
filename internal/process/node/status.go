package node

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/admin"
	"lagoonbarrow/internal/process/admission"
	"lagoonbarrow/internal/process/timeline"
	"lagoonbarrow/pkg/event"
)

// Status is the state of a node in the administration API.
type Status struct {
	Instance          lagoonbarrow.InstanceID           `json:"instance"`
	Service           lagoonbarrow.ServiceName          `json:"service"`
	Zone              lagoonbarrow.Zone                 `json:"zone"`
	Region            lagoonbarrow.Region               `json:"region"`
	State             string                            `json:"state"`
	ContractRevision  lagoonbarrow.Revision             `json:"contract-revision"`
	ContractsReady    bool                              `json:"contracts-ready"`
	RevisionAge       string                            `json:"revision-age,omitempty"`
	PlatformAvailable bool                              `json:"platform-available"`
	CallsInFlight     int                               `json:"calls-in-flight"`
	Admission         admission.Status                  `json:"admission"`
	EntryThresholds   map[string]lagoonbarrow.Threshold `json:"entry-thresholds,omitempty"`
	Members           map[string]int                    `json:"members"`
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	revision, age, known := n.distributor.Gossip()
	status := Status{
		Instance:          n.settings.Instance,
		Service:           n.settings.Service,
		Zone:              n.settings.Zone,
		Region:            n.settings.Region,
		State:             n.roster.Self().State.String(),
		ContractRevision:  revision,
		ContractsReady:    n.registry.Ready(),
		PlatformAvailable: n.platform.Available(),
		CallsInFlight:     n.handler.InFlight(),
		Admission:         n.gate.Status(),
		Members:           map[string]int{},
	}
	if known {
		status.RevisionAge = age.Round(time.Millisecond).String()
	}
	if n.customers != nil {
		status.EntryThresholds = n.customers.Thresholds()
	}
	for _, member := range n.roster.Live() {
		status.Members[fmt.Sprintf("%s %s", member.Service, member.State)]++
	}
	return status
}

func (n *Node) buildAdmin() {
	n.admin = admin.New(admin.Config{
		Address:     n.settings.AdminAddress,
		ReadToken:   n.settings.ReadToken,
		ChangeToken: n.settings.ChangeToken,
		Store:       n.store,
		Contracts:   n.registry,
		Claims:      n.claims,
		Roster:      n.roster,
		Transport:   n.transport,
		Status:      func() any { return n.Status() },
		Events:      n.events,
		Metrics:     n.metrics.Handler(),
		Ready:       n.readiness,
		Logger:      n.logger.Named("admin"),
	})
}

func (n *Node) events(filter admin.EventFilter) []event.Event {
	timelineFilter := timeline.Filter{
		Request:         string(filter.Request),
		Customer:        string(filter.Customer),
		ContractVersion: uint64(filter.ContractVersion),
		Limit:           filter.Limit,
	}
	if !filter.Since.IsZero() {
		timelineFilter.Since = event.Stamp{
			Wall: filter.Since.UnixNano(),
		}
	}
	return n.timeline.Events(timelineFilter)
}

// readiness returns an error with the reason why customers' load balancers should not
// send requests to this node, or nil.
func (n *Node) readiness() error {
	state := n.roster.Self().State
	if state != lagoonbarrow.StateReady {
		return errors.Errorf("the node is %s", state)
	}
	if !n.announced.Load() {
		return errors.New("the other nodes are being told that this one is ready")
	}
	return nil
}
