package roster

import (
	"time"
	"unique"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// Kinds of membership messages.
const (
	kindProbe        = "probe"
	kindProbeAck     = "probe-ack"
	kindProbeRequest = "probe-request"
	kindLeave        = "leave"
	kindDigest       = "digest"
	kindSync         = "sync"
)

// wireStatus is a status in a message, an array of at most 21 bytes.
type wireStatus struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Reference   reference
	Incarnation lagoonbarrow.Incarnation
	Phase       phase
	Verdict     verdict
}

// wireRecord is a full record in a message, about 110 bytes as an array.
type wireRecord struct {
	_msgpack    struct{} `msgpack:",as_array"`
	ID          lagoonbarrow.InstanceID
	Service     lagoonbarrow.ServiceName
	Zone        lagoonbarrow.Zone
	Region      lagoonbarrow.Region
	Peer        lagoonbarrow.Address
	Admin       lagoonbarrow.Address
	Slots       int
	Incarnation lagoonbarrow.Incarnation
	Phase       phase
	Verdict     verdict
	// DeadSeconds is how long a dead instance has been dead. It is set in a join.
	DeadSeconds int64
}

// updates is the membership gossip that probes and acks carry.
type updates struct {
	Records  []wireRecord `msgpack:"records,omitempty"`
	Statuses []wireStatus `msgpack:"statuses,omitempty"`
	Blocks   []wireBlock  `msgpack:"blocks,omitempty"`
}

// headRevision is RevisionGossip in a message. AgeMillis is -1 without a confirmation.
type headRevision struct {
	Revision  lagoonbarrow.Revision `msgpack:"revision"`
	AgeMillis int64                 `msgpack:"head-age-ms"`
}

// probeBody is the body of a probe and of a request for an indirect probe.
type probeBody struct {
	// Target is the status of the probed instance in the sender's table. It lets a
	// suspect instance refute at once.
	Target wireStatus `msgpack:"target"`
	// Address is the target's address. It is set in a request for an indirect probe.
	Address lagoonbarrow.Address `msgpack:"address,omitempty"`
	Sender  wireStatus           `msgpack:"sender"`
	Head    headRevision         `msgpack:"head"`
	Updates updates              `msgpack:"news"`
}

// ackBody answers a probe or a request for an indirect probe.
type ackBody struct {
	// Sender is the status of the answering instance.
	Sender wireStatus `msgpack:"sender"`
	// Reached is the status of the target of an indirect probe, if it answered.
	Reached *wireStatus `msgpack:"reached,omitempty"`
	// Want requests the prober's full record.
	Want    bool         `msgpack:"want,omitempty"`
	Head    headRevision `msgpack:"head"`
	Updates updates      `msgpack:"news"`
}

// leaveBody announces that its sender is leaving or has left.
type leaveBody struct {
	Sender wireStatus `msgpack:"sender"`
}

// digestBody opens a digest exchange.
type digestBody struct {
	// Hashes holds four bytes for each bucket.
	Hashes []byte `msgpack:"hashes"`
	// Join requests full records instead of statuses.
	Join    bool         `msgpack:"join,omitempty"`
	Records []wireRecord `msgpack:"records,omitempty"`
}

// syncBody answers a digest, and carries the differences in both directions.
type syncBody struct {
	// Buckets are the differing buckets that Statuses or Records cover completely.
	Buckets  []uint8      `msgpack:"buckets,omitempty"`
	Statuses []wireStatus `msgpack:"statuses,omitempty"`
	Records  []wireRecord `msgpack:"records,omitempty"`
	// Want lists the instances whose full records are requested.
	Want []reference `msgpack:"want,omitempty"`
	// More is set when further buckets differ.
	More bool `msgpack:"more,omitempty"`
}

// maxDeadSeconds prevents a damaged age from overflowing a time.Duration.
const maxDeadSeconds = 1 << 30

// maxBodyBytes is the size limit of a frame. Answers stay well below it.
const maxBodyBytes = 256 << 10

// decode decodes a body of the expected kind. It returns ErrInvalid for damaged
// bodies.
func decode(message lagoonbarrow.Message, kind string, body any) error {
	if message.Kind != kind {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "roster: message kind %q instead of %q", message.Kind, kind)
	}
	if len(message.Body) > maxBodyBytes {
		return errors.Wrapf(lagoonbarrow.ErrTooLarge, "roster: %s of %d bytes", kind, len(message.Body))
	}
	return frame.DecodeMessage(message, body)
}

func toWire(r record) wireRecord {
	return wireRecord{
		ID:          r.Instance.ID,
		Service:     r.Instance.Service,
		Zone:        r.Instance.Zone,
		Region:      r.Instance.Region,
		Peer:        r.Instance.Peer,
		Admin:       r.Instance.Admin,
		Slots:       r.Instance.Slots,
		Incarnation: r.Status.Incarnation,
		Phase:       r.Status.Phase,
		Verdict:     r.Status.Verdict,
	}
}

// fromWire validates and converts a record. Unknown phases and verdicts are
// refused, because a value greater than the known ones would win every merge.
func fromWire(w wireRecord) (record, bool) {
	if w.ID == "" || w.Peer == "" || w.Phase > phaseLeft || w.Verdict > verdictDead {
		return record{}, false
	}
	r := newRecord(lagoonbarrow.Instance{
		ID:      w.ID,
		Service: lagoonbarrow.ServiceName(uniqueName(string(w.Service))),
		Zone:    lagoonbarrow.Zone(uniqueName(string(w.Zone))),
		Region:  lagoonbarrow.Region(uniqueName(string(w.Region))),
		Peer:    w.Peer,
		Admin:   w.Admin,
		Slots:   w.Slots,
	}, status{
		Incarnation: w.Incarnation,
		Phase:       w.Phase,
		Verdict:     w.Verdict,
	})
	r.deadFor = time.Duration(min(max(w.DeadSeconds, 0), maxDeadSeconds)) * time.Second
	return r, true
}

// uniqueName returns the shared copy of a name that many members have.
func uniqueName(name string) string {
	return unique.Make(name).Value()
}

func newRecord(instance lagoonbarrow.Instance, s status) record {
	instance.Incarnation = s.Incarnation
	instance.State = s.state()
	return record{
		Instance: instance,
		Status:   s,
	}
}

func statusToWire(ref reference, s status) wireStatus {
	return wireStatus{
		Reference:   ref,
		Incarnation: s.Incarnation,
		Phase:       s.Phase,
		Verdict:     s.Verdict,
	}
}

func (w wireStatus) status() (status, bool) {
	return status{
		Incarnation: w.Incarnation,
		Phase:       w.Phase,
		Verdict:     w.Verdict,
	}, w.Phase <= phaseLeft && w.Verdict <= verdictDead
}
