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
	// WriteID identifies the write that produced this row. A writer whose answer
	// was lost uses it to recognise its own write. The attempt id is not enough,
	// because the claim, its void and a duplicate call frame share it.
	WriteID string        `json:"write-id"`
	Answer  *storedAnswer `json:"answer,omitempty"`
}

// storedAnswer is the part of an answer that is returned to repeated requests.
type storedAnswer struct {
	Status int            `json:"status"`
	Header []storedHeader `json:"header,omitempty"`
	Body   []byte         `json:"body,omitempty"`
	// Marker is a value of HeaderAnswer when the original answer is not stored.
	Marker string `json:"marker,omitempty"`
}

// storedHeader holds the value as bytes, because JSON strings can't represent
// all header values.
type storedHeader struct {
	Name  string `json:"name"`
	Value []byte `json:"value"`
}

// rowKey returns the row key of an idempotency key. Both parts are escaped, so
// no two pairs share a row and every row key is valid in JSON.
func rowKey(customer lagoonbarrow.CustomerID, key string) string {
	return url.PathEscape(string(customer)) + "/" + url.PathEscape(key)
}

func encodeRow(r row) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "claim: encode row")
}

// decodeRow decodes a row's value. It returns ErrInvalid for a value that this
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

// newStoredAnswer returns the whole answer if its header and body have at most
// limit bytes, and otherwise only the status and a marker.
func newStoredAnswer(answer *lagoonbarrow.Answer, limit int) *storedAnswer {
	header := make([]storedHeader, 0, len(answer.Header))
	for _, field := range answer.Header {
		header = append(header, storedHeader{
			Name:  field.Name,
			Value: []byte(field.Value),
		})
	}
	stored := &storedAnswer{
		Status: answer.Status,
		Header: header,
		Body:   answer.Body,
	}
	if stored.size() > limit {
		return stored.statusOnly()
	}
	return stored
}

// size returns the number of header and body bytes.
func (s *storedAnswer) size() int {
	if s == nil {
		return 0
	}
	size := len(s.Body)
	for _, field := range s.Header {
		size += len(field.Name) + len(field.Value)
	}
	return size
}

// statusOnly returns the answer's status with the marker AnswerTooLarge.
func (s *storedAnswer) statusOnly() *storedAnswer {
	return &storedAnswer{
		Status: s.Status,
		Marker: AnswerTooLarge,
	}
}

// restore returns the answer for repeated requests.
func (s *storedAnswer) restore() *lagoonbarrow.Answer {
	if s == nil {
		return nil
	}
	answer := &lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  s.Status,
		Body:    s.Body,
	}
	for _, field := range s.Header {
		answer.Header = append(answer.Header, lagoonbarrow.HeaderField{
			Name:  field.Name,
			Value: string(field.Value),
		})
	}
	if s.Marker != "" {
		answer.Header = append(answer.Header, lagoonbarrow.HeaderField{
			Name:  HeaderAnswer,
			Value: s.Marker,
		})
	}
	return answer
}

// identity identifies a claim by its customer and idempotency key.
type identity struct {
	customer lagoonbarrow.CustomerID
	key      string
}

func (i identity) rowKey() string {
	return rowKey(i.customer, i.key)
}

func (r row) toClaim(id identity, version lagoonbarrow.RowVersion) lagoonbarrow.Claim {
	return lagoonbarrow.Claim{
		Customer: id.customer,
		Key:      id.key,
		State:    r.State,
		Attempt:  r.Attempt,
		Instance: r.Instance,
		Digest:   r.Digest,
		Deadline: r.Deadline,
		Answer:   r.Answer.restore(),
		Version:  version,
	}
}
