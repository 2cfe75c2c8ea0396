package contract

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// Kinds of messages between nodes.
const (
	KindPush   = "contract-push"
	KindPull   = "contract-pull"
	KindStatus = "contract-status"
)

// maxMessageBytes is below the limit of 256 KiB for a message and leaves space
// for its frame.
const maxMessageBytes = 224 << 10

// maxMessageRecords exceeds the number of records of the smallest size that fit
// into a message.
const maxMessageRecords = 4096

// Status describes the contracts in force on a node.
type Status struct {
	Revision lagoonbarrow.Revision `msgpack:"revision"`
	// Ready is set once the contracts have been read from the platform.
	Ready bool `msgpack:"ready"`
	// Age is the time since the platform confirmed the revision.
	Age time.Duration `msgpack:"age"`
}

// pushMessage carries new records. Records that do not fit into one message are
// omitted, and the receiver pulls them.
type pushMessage struct {
	Revision lagoonbarrow.Revision `msgpack:"revision"`
	Age      time.Duration         `msgpack:"age"`
	Forward  bool                  `msgpack:"forward"`
	Records  recordList            `msgpack:"records"`
}

type pullRequest struct {
	After lagoonbarrow.Revision `msgpack:"after"`
}

// pullAnswer carries as many records after the requested revision as fit into
// one message.
type pullAnswer struct {
	Revision lagoonbarrow.Revision `msgpack:"revision"`
	Age      time.Duration         `msgpack:"age"`
	// TooOld is set if the peer no longer keeps the requested records.
	TooOld  bool       `msgpack:"too-old"`
	Records recordList `msgpack:"records"`
}

// recordList encodes records as the JSON text of their rows. Its decoder limits
// their number, because msgpack v5.4.1 allocates a slice of the length stated in
// the message, up to 4 billion elements, before it reads the first one.
type recordList []lagoonbarrow.ContractRecord

// EncodeMsgpack writes the records as an array of JSON texts.
func (l recordList) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(len(l)); err != nil {
		return err
	}
	for _, record := range l {
		text, err := encodeRow(record)
		if err != nil {
			return err
		}
		if err := encoder.EncodeBytes(text); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack reads at most maxMessageRecords records.
func (l *recordList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > maxMessageRecords {
		return errors.Wrapf(lagoonbarrow.ErrTooLarge, "contract: %d records", count)
	}
	var records recordList
	for range count {
		text, err := decoder.DecodeBytes()
		if err != nil {
			return err
		}
		var record lagoonbarrow.ContractRecord
		if err := json.Unmarshal(text, &record); err != nil {
			return err
		}
		records = append(records, record)
	}
	*l = records
	return nil
}

// StatusRequest returns the message that requests the Status of a node.
func StatusRequest() lagoonbarrow.Message {
	return lagoonbarrow.Message{
		Kind: KindStatus,
	}
}

// DecodeStatus decodes a node's answer to StatusRequest.
func DecodeStatus(message lagoonbarrow.Message) (Status, error) {
	var status Status
	err := frame.DecodeMessage(message, &status)
	return status, err
}

func decodePush(message lagoonbarrow.Message) (pushMessage, error) {
	var push pushMessage
	if err := frame.DecodeMessage(message, &push); err != nil {
		return push, err
	}
	return push, checkRecords(push.Records, push.Revision)
}

func decodePullAnswer(message lagoonbarrow.Message) (pullAnswer, error) {
	var answer pullAnswer
	if err := frame.DecodeMessage(message, &answer); err != nil {
		return answer, err
	}
	return answer, checkRecords(answer.Records, answer.Revision)
}

// checkRecords rejects records that are malformed, not consecutive, or above the
// revision that the message states.
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
