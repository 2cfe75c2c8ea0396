package quota

import (
	"math"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// Kinds of the messages between nodes.
const (
	KindRequest = "share-request"
	KindAnswer  = "share-answer"
)

// maxEntries bounds the customers in one message; 1,000 take about 60 KiB.
const maxEntries = 1000

// grantID names one grant of one owner process. It starts at a random number
// in each process, so that a restarted owner does not know the grants of the
// process before it.
type grantID uint64

// processID tells the processes of a restarted instance apart.
type processID uint64

// report is the demand of one node for the customers that one owner holds.
type report struct {
	Process processID `msgpack:"process"`
	// Sequence rises with each report of a process.
	Sequence uint64        `msgpack:"sequence"`
	Entries  reportEntries `msgpack:"entries"`
}

type reportEntry struct {
	Customer lagoonbarrow.CustomerID `msgpack:"customer"`
	// Demand is in work units per second, from critical to deferrable.
	Demand byLevel `msgpack:"demand"`
	// Held is the grant in use, or 0. All other grants to this process were
	// lost or replaced, and no late answer can bring them into force.
	Held grantID `msgpack:"held,omitempty"`
	// Using is the part of the held share that this process keeps using; it gave
	// up the rest before it sent the report.
	Using lagoonbarrow.WorkUnits `msgpack:"using,omitempty"`
	// Missing is the work that the bucket lacks to last until a share follows
	// the demand.
	Missing lagoonbarrow.WorkUnits `msgpack:"missing,omitempty"`
	// Returned is the work that the bucket held above the capacity of what it
	// keeps using; it took it out before it sent the report.
	Returned lagoonbarrow.WorkUnits `msgpack:"returned,omitempty"`
}

type answer struct {
	Entries answerEntries `msgpack:"entries"`
}

// reportEntries and answerEntries have decoders of their own, because
// msgpack v5.4.1 allocates a slice at the length that the message states, up to
// 4 billion elements, before it reads the first one.
type reportEntries []reportEntry

type answerEntries []answerEntry

// DecodeMsgpack reads at most maxEntries entries.
func (e *reportEntries) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := entryCount(decoder)
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

// DecodeMsgpack reads at most maxEntries entries.
func (e *answerEntries) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := entryCount(decoder)
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

// entryCount returns the stated length, or -1 for nil.
func entryCount(decoder *msgpack.Decoder) (int, error) {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if count > maxEntries {
		return 0, errors.Wrapf(lagoonbarrow.ErrTooLarge, "quota: %d entries", count)
	}
	return count, nil
}

type answerEntry struct {
	Customer lagoonbarrow.CustomerID `msgpack:"customer"`
	Grant    grantID                 `msgpack:"grant"`
	Share    lagoonbarrow.WorkUnits  `msgpack:"share"`
	// Credit is work that may be admitted once, within creditLife after the
	// report was sent.
	Credit lagoonbarrow.WorkUnits `msgpack:"credit,omitempty"`
}

func encode(kind string, value any) (lagoonbarrow.Message, error) {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return lagoonbarrow.Message{}, errors.Wrapf(err, "quota: encode %s", kind)
	}
	return lagoonbarrow.Message{
		Kind: kind,
		Body: body,
	}, nil
}

func decodeReport(message lagoonbarrow.Message) (report, error) {
	var got report
	if err := msgpack.Unmarshal(message.Body, &got); err != nil {
		return got, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: decode report: %v", err)
	}
	for _, entry := range got.Entries {
		if !validDemand(entry.Demand) || !validUnits(entry.Using) || !validUnits(entry.Missing) || !validUnits(entry.Returned) {
			return got, errors.Wrap(lagoonbarrow.ErrInvalid, "quota: decode report: demand is not a positive number")
		}
	}
	return got, nil
}

func decodeAnswer(message lagoonbarrow.Message) (answer, error) {
	var got answer
	if err := msgpack.Unmarshal(message.Body, &got); err != nil {
		return got, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: decode answer: %v", err)
	}
	for _, entry := range got.Entries {
		if !validUnits(entry.Share) || !validUnits(entry.Credit) {
			return got, errors.Wrap(lagoonbarrow.ErrInvalid, "quota: decode answer: share or credit is not a positive number")
		}
	}
	return got, nil
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
