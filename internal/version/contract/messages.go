package contract

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// Kinds of the messages between nodes.
const (
	KindPush   = "contract-push"
	KindPull   = "contract-pull"
	KindStatus = "contract-status"
)

// maxMessageBytes leaves room for the frame around a message of at most
// 256 KiB.
const maxMessageBytes = 224 << 10

// Status tells which contracts are in force on a node.
type Status struct {
	Revision lagoonbarrow.Revision `json:"revision"`
	// Ready is set once the contracts were read from the platform.
	Ready bool `json:"ready"`
	// Age is the time since the platform confirmed the revision.
	Age time.Duration `json:"age"`
}

// pushMessage carries new records. Records may be left out when they are too
// large for one message; the receiver pulls them.
type pushMessage struct {
	Revision lagoonbarrow.Revision         `json:"revision"`
	Age      time.Duration                 `json:"age"`
	Forward  bool                          `json:"forward"`
	Records  []lagoonbarrow.ContractRecord `json:"records"`
}

type pullRequest struct {
	After lagoonbarrow.Revision `json:"after"`
}

// pullAnswer carries the records after the requested revision, as many as fit
// into one message.
type pullAnswer struct {
	Revision lagoonbarrow.Revision `json:"revision"`
	Age      time.Duration         `json:"age"`
	Ready    bool                  `json:"ready"`
	// TooOld is set when the peer no longer keeps the records.
	TooOld  bool                          `json:"too-old"`
	Records []lagoonbarrow.ContractRecord `json:"records"`
}

// encodeMessage writes msgpack with the field names of the json tags, so that
// records have the same names in messages and rows.
func encodeMessage(kind string, value any) (lagoonbarrow.Message, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return lagoonbarrow.Message{}, errors.Wrapf(err, "contract: encode %s", kind)
	}
	return lagoonbarrow.Message{
		Kind: kind,
		Body: buffer.Bytes(),
	}, nil
}

func decodeMessage(message lagoonbarrow.Message, into any) error {
	decoder := msgpack.NewDecoder(bytes.NewReader(message.Body))
	decoder.SetCustomStructTag("json")
	if err := decoder.Decode(into); err != nil {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "contract: decode %s: %v", message.Kind, err)
	}
	return nil
}

// StatusRequest returns the message that asks a node for its Status.
func StatusRequest() lagoonbarrow.Message {
	return lagoonbarrow.Message{
		Kind: KindStatus,
	}
}

// DecodeStatus reads a node's answer to StatusRequest.
func DecodeStatus(message lagoonbarrow.Message) (Status, error) {
	var status Status
	err := decodeMessage(message, &status)
	return status, err
}

func decodePush(message lagoonbarrow.Message) (pushMessage, error) {
	var push pushMessage
	if err := decodeMessage(message, &push); err != nil {
		return push, err
	}
	return push, checkRecords(push.Records, push.Revision)
}

func decodePullAnswer(message lagoonbarrow.Message) (pullAnswer, error) {
	var answer pullAnswer
	if err := decodeMessage(message, &answer); err != nil {
		return answer, err
	}
	return answer, checkRecords(answer.Records, answer.Revision)
}

// checkRecords refuses records that are malformed, out of order, or above the
// revision that the peer claims to have.
func checkRecords(records []lagoonbarrow.ContractRecord, revision lagoonbarrow.Revision) error {
	for index := range records {
		record := records[index]
		if err := checkRecord(record); err != nil {
			return errors.Wrap(err, "contract: check message")
		}
		if record.Revision > revision {
			return errors.Wrap(lagoonbarrow.ErrInvalid, "contract: check message: record above the stated revision")
		}
		if index > 0 && record.Revision != records[index-1].Revision+1 {
			return errors.Wrap(lagoonbarrow.ErrInvalid, "contract: check message: gap between records")
		}
	}
	return nil
}
