package quota

import (
	"math"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// Message kinds.
const (
	KindShareRequest = "share-request"
	KindShareAnswer  = "share-answer"
)

// maxEntries bounds the customers in one message. 1,000 take about 60 KiB.
const maxEntries = 1000

// grantID identifies one grant of one owner process. Each process starts at a
// random number, because a restarted owner must not take the grants of the
// previous process for its own.
type grantID uint64

// processID distinguishes the processes of a restarted instance.
type processID uint64

// report is the demand of one node for customers of one owner.
type report struct {
	Process processID `msgpack:"process"`
	// Sequence increases with each report of a process.
	Sequence uint64        `msgpack:"sequence"`
	Entries  reportEntries `msgpack:"entries"`
}

// reportEntry is the demand for one customer.
type reportEntry struct {
	Customer lagoonbarrow.CustomerID `msgpack:"customer"`
	// Demand is in work units per second, from critical to deferrable.
	Demand byLevel `msgpack:"demand"`
	// Grant is the grant in use, or 0. All other grants to this process were lost
	// or replaced, and late answers that contain them are discarded.
	Grant grantID `msgpack:"held,omitempty"`
	// ShareInUse is the part of the granted share that this process still uses.
	// It gave up the rest before it sent the report.
	ShareInUse lagoonbarrow.WorkUnits `msgpack:"using,omitempty"`
	// Shortfall is the work that the bucket lacks until a share can follow the
	// demand.
	Shortfall lagoonbarrow.WorkUnits `msgpack:"missing,omitempty"`
	// Returned is the work above the capacity of the share, and unneeded credit,
	// that the process removed from its bucket before it sent the report.
	Returned lagoonbarrow.WorkUnits `msgpack:"returned,omitempty"`
}

// answer holds the shares and credit that an owner grants for a report.
type answer struct {
	Entries answerEntries `msgpack:"entries"`
}

// reportEntries and answerEntries have custom decoders, because msgpack v5.4.1
// allocates a slice of the length that the message states, up to 4 billion
// elements, before it reads the first one.
type reportEntries []reportEntry

type answerEntries []answerEntry

// DecodeMsgpack returns ErrTooLarge for more than maxEntries entries.
func (e *reportEntries) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decodeEntryCount(decoder)
	if err != nil {
		return err
	}
	entries := make(reportEntries, max(count, 0))
	for index := range entries {
		if err := decoder.Decode(&entries[index]); err != nil {
			return err
		}
	}
	*e = entries
	return nil
}

// DecodeMsgpack returns ErrTooLarge for more than maxEntries entries.
func (e *answerEntries) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decodeEntryCount(decoder)
	if err != nil {
		return err
	}
	entries := make(answerEntries, max(count, 0))
	for index := range entries {
		if err := decoder.Decode(&entries[index]); err != nil {
			return err
		}
	}
	*e = entries
	return nil
}

// decodeEntryCount returns the stated length, or -1 for nil.
func decodeEntryCount(decoder *msgpack.Decoder) (int, error) {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if count > maxEntries {
		return 0, errors.Wrapf(lagoonbarrow.ErrTooLarge, "quota: %d entries", count)
	}
	return count, nil
}

// answerEntry is the share and credit for one customer.
type answerEntry struct {
	Customer lagoonbarrow.CustomerID `msgpack:"customer"`
	Grant    grantID                 `msgpack:"grant"`
	Share    lagoonbarrow.WorkUnits  `msgpack:"share"`
	// Credit is work that may be admitted once, within creditLife after the
	// report was sent.
	Credit lagoonbarrow.WorkUnits `msgpack:"credit,omitempty"`
}

func decodeReport(message lagoonbarrow.Message) (report, error) {
	var decoded report
	if err := frame.DecodeMessage(message, &decoded); err != nil {
		return decoded, err
	}
	for _, entry := range decoded.Entries {
		if !validDemand(entry.Demand) || !validUnits(entry.ShareInUse) || !validUnits(entry.Shortfall) || !validUnits(entry.Returned) {
			return decoded, errors.Wrap(lagoonbarrow.ErrInvalid, "quota: decode report: demand is not a positive number")
		}
	}
	return decoded, nil
}

func decodeAnswer(message lagoonbarrow.Message) (answer, error) {
	var decoded answer
	if err := frame.DecodeMessage(message, &decoded); err != nil {
		return decoded, err
	}
	for _, entry := range decoded.Entries {
		if !validUnits(entry.Share) || !validUnits(entry.Credit) {
			return decoded, errors.Wrap(lagoonbarrow.ErrInvalid, "quota: decode answer: share or credit is not a positive number")
		}
	}
	return decoded, nil
}

func validDemand(demand byLevel) bool {
	for _, units := range demand {
		if !validUnits(units) {
			return false
		}
	}
	return validUnits(demand.sum())
}

func validUnits(units lagoonbarrow.WorkUnits) bool {
	return units >= 0 && !math.IsInf(float64(units), 0)
}
