package claim

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// row is the value of a claim row.
type row struct {
	State    lagoonbarrow.ClaimState `json:"state"`
	Attempt  lagoonbarrow.AttemptID  `json:"attempt"`
	Instance lagoonbarrow.InstanceID `json:"instance"`
	Digest   string                  `json:"digest"`
	Deadline time.Time               `json:"deadline"`
	// WriteID names the write that made this row, so that a writer whose answer
	// was lost recognises its own write. The attempt id alone does not: the
	// claim, its void and a duplicate of the call frame all carry the same one.
	WriteID string      `json:"write-id"`
	Answer  *keptAnswer `json:"answer,omitempty"`
}

// keptAnswer is the part of an answer that repeats get.
type keptAnswer struct {
	Status int          `json:"status"`
	Header []keptHeader `json:"header,omitempty"`
	Body   []byte       `json:"body,omitempty"`
	// Marker is a value of HeaderAnswer when the original answer is not kept.
	Marker string `json:"marker,omitempty"`
}

// keptHeader holds the value as bytes, because JSON strings can't hold all
// header values.
type keptHeader struct {
	Name  string `json:"name"`
	Value []byte `json:"value"`
}

// rowKey names the row of an idempotency key. Both parts are escaped, so that
// no two pairs share a row and every key is valid in JSON.
func rowKey(customer lagoonbarrow.CustomerID, key string) string {
	return url.PathEscape(string(customer)) + "/" + url.PathEscape(key)
}

func encodeRow(r row) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "claim: encode row")
}

// decodeRow reads a row's value. It returns ErrInvalid for one that this
// package can't have written.
func decodeRow(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "claim: decode row: %v", err)
	}
	if r.Attempt == "" || r.WriteID == "" {
		return row{}, errors.Wrap(lagoonbarrow.ErrInvalid, "claim: row without attempt or write id")
	}
	switch r.State {
	case lagoonbarrow.ClaimHeld, lagoonbarrow.ClaimVoided:
		return r, nil
	case lagoonbarrow.ClaimCompleted:
		if r.Answer == nil {
			return row{}, errors.Wrap(lagoonbarrow.ErrInvalid, "claim: completed row without an answer")
		}
		return r, nil
	default:
		return row{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "claim: row state %q", r.State)
	}
}

// keep reduces an answer to what the row holds: all of it up to limit bytes of
// header and body, otherwise the status and a marker.
func keep(answer *lagoonbarrow.Answer, limit int) *keptAnswer {
	header := make([]keptHeader, 0, len(answer.Header))
	for _, field := range answer.Header {
		header = append(header, keptHeader{
			Name:  field.Name,
			Value: []byte(field.Value),
		})
	}
	kept := &keptAnswer{
		Status: answer.Status,
		Header: header,
		Body:   answer.Body,
	}
	if kept.size() > limit {
		return kept.reduced()
	}
	return kept
}

// size is the number of header and body bytes.
func (k *keptAnswer) size() int {
	if k == nil {
		return 0
	}
	size := len(k.Body)
	for _, field := range k.Header {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// reduced is the answer's status with the marker that the rest is not kept.
func (k *keptAnswer) reduced() *keptAnswer {
	return &keptAnswer{
		Status: k.Status,
		Marker: AnswerTooLarge,
	}
}

// restore makes the answer that a repeat gets.
func (k *keptAnswer) restore() *lagoonbarrow.Answer {
	if k == nil {
		return nil
	}
	answer := &lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  k.Status,
		Body:    k.Body,
	}
	for _, field := range k.Header {
		answer.Header = append(answer.Header, lagoonbarrow.HeaderField{
			Name:  field.Name,
			Value: string(field.Value),
		})
	}
	if k.Marker != "" {
		answer.Header = append(answer.Header, lagoonbarrow.HeaderField{
			Name:  HeaderAnswer,
			Value: k.Marker,
		})
	}
	return answer
}

// identity names the key that a row belongs to.
type identity struct {
	customer lagoonbarrow.CustomerID
	key      string
}

func (i identity) rowKey() string {
	return rowKey(i.customer, i.key)
}

func (r row) claim(of identity, version lagoonbarrow.RowVersion) lagoonbarrow.Claim {
	return lagoonbarrow.Claim{
		Customer: of.customer,
		Key:      of.key,
		State:    r.State,
		Attempt:  r.Attempt,
		Instance: r.Instance,
		Digest:   r.Digest,
		Deadline: r.Deadline,
		Answer:   r.Answer.restore(),
		Version:  version,
	}
}
