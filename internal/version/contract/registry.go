package contract

import (
	"crypto/sha256"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// RegistryConfig holds what a Registry needs.
type RegistryConfig struct {
	// Recorder records an event for each applied change if it is not nil.
	Recorder lagoonbarrow.Recorder
}

// Registry is the table of contracts in force on this node. Reads use one
// immutable snapshot without a lock.
type Registry struct {
	config  RegistryConfig
	current atomic.Pointer[snapshot]
	// mutex serializes writers and guards recent.
	mutex  sync.Mutex
	recent history
}

var _ lagoonbarrow.Contracts = (*Registry)(nil)

// NewRegistry returns an empty table, which is not ready.
func NewRegistry(config RegistryConfig) *Registry {
	registry := &Registry{
		config: config,
	}
	registry.current.Store(&snapshot{})
	return registry
}

// ByKey returns the contract in force for an API key, or ErrUnauthenticated.
func (r *Registry) ByKey(apiKey string) (lagoonbarrow.ContractRecord, error) {
	record, found := r.current.Load().byKey(sha256.Sum256([]byte(apiKey)))
	if !found {
		return lagoonbarrow.ContractRecord{}, lagoonbarrow.ErrUnauthenticated
	}
	return record, nil
}

// Lookup returns the record of a customer, retired ones included.
func (r *Registry) Lookup(customer lagoonbarrow.CustomerID) (lagoonbarrow.ContractRecord, bool) {
	return r.current.Load().lookup(customer)
}

// Match returns the first class of the record that matches, or ErrNotFound.
func (r *Registry) Match(record lagoonbarrow.ContractRecord, method, path string) (lagoonbarrow.Class, error) {
	if record.Contract == nil {
		return lagoonbarrow.Class{}, lagoonbarrow.ErrNotFound
	}
	for index := range record.Contract.Classes {
		class := &record.Contract.Classes[index]
		if class.Method != "" && class.Method != method {
			continue
		}
		if strings.HasPrefix(path, class.PathPrefix) {
			return *class, nil
		}
	}
	return lagoonbarrow.Class{}, lagoonbarrow.ErrNotFound
}

// Revision returns the highest revision up to which all changes are applied.
func (r *Registry) Revision() lagoonbarrow.Revision {
	return r.current.Load().revision
}

// Ready reports whether the contracts have been read from the platform.
func (r *Registry) Ready() bool {
	return r.current.Load().ready
}

// Size returns the number of customers, retired ones included.
func (r *Registry) Size() int {
	size := 0
	current := r.current.Load()
	for _, customers := range current.customers {
		size += len(customers)
	}
	return size
}

// Apply brings the change records into force that follow the current revision
// without a gap. It skips lower revisions and stops at the first gap. It returns
// the applied records, and nil before the table is ready.
func (r *Registry) Apply(records []lagoonbarrow.ContractRecord) []lagoonbarrow.ContractRecord {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := r.current.Load()
	if !current.ready {
		return nil
	}
	var applied []lagoonbarrow.ContractRecord
	draft := newDraft(current)
	for _, record := range records {
		if record.Revision <= draft.snapshot.revision {
			continue
		}
		if record.Revision != draft.snapshot.revision+1 {
			break
		}
		draft.set(record)
		draft.snapshot.revision = record.Revision
		applied = append(applied, record)
	}
	if len(applied) == 0 {
		return nil
	}
	r.current.Store(&draft.snapshot)
	r.recent.add(applied)
	r.recordInForce(applied)
	return applied
}

// Load brings a complete and consistent state of the platform's table into force.
// records must include all changes up to revision. Load ignores a state that is
// not newer than the current one, and then returns false.
func (r *Registry) Load(records []lagoonbarrow.ContractRecord, revision lagoonbarrow.Revision) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := r.current.Load()
	if current.ready && current.revision >= revision {
		return false
	}
	draft := newDraft(&snapshot{})
	for _, record := range records {
		draft.set(record)
	}
	draft.snapshot.revision = revision
	draft.snapshot.ready = true
	r.current.Store(&draft.snapshot)
	r.recent.reset()
	return true
}

// Recent returns change records that follow a revision without a gap. They have at
// most maxBytes encoded bytes in total, except that a first record is always
// included. complete is false if the records right after the revision are no
// longer kept.
func (r *Registry) Recent(after lagoonbarrow.Revision, maxBytes int) (records []lagoonbarrow.ContractRecord, complete bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if after >= r.current.Load().revision {
		return nil, true
	}
	return r.recent.after(after, maxBytes)
}

func (r *Registry) recordInForce(records []lagoonbarrow.ContractRecord) {
	if r.config.Recorder == nil {
		return
	}
	for _, record := range records {
		r.config.Recorder.Record(event.ContractInForce, event.Fields{
			Customer:        string(record.Customer),
			ContractVersion: uint64(record.Version),
		})
	}
}

// errNotReady is returned to peers that pull before the initial load.
var errNotReady = errors.Wrap(lagoonbarrow.ErrUnavailable, "contract: contracts not loaded")
