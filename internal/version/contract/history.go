package contract

import (
	"encoding/json"

	"lagoonbarrow"
)

// Bounds on the change records kept for pulls by peers. 512 changes cover about
// 5 hours at 2,200 changes a day. A peer that is further behind reads the
// platform's table.
const (
	maxHistoryRecords = 512
	maxHistoryBytes   = 2 << 20
)

type historyEntry struct {
	record lagoonbarrow.ContractRecord
	size   int
}

// history holds the latest change records with consecutive revisions.
type history struct {
	entries []historyEntry
	bytes   int
}

func (h *history) reset() {
	h.entries = nil
	h.bytes = 0
}

func (h *history) add(records []lagoonbarrow.ContractRecord) {
	for _, record := range records {
		size := recordSize(record)
		h.bytes += size
		h.entries = append(h.entries, historyEntry{
			record: record,
			size:   size,
		})
	}
	h.trim()
}

func (h *history) trim() {
	drop := 0
	for drop < len(h.entries) && (len(h.entries)-drop > maxHistoryRecords || h.bytes > maxHistoryBytes) {
		h.bytes -= h.entries[drop].size
		drop++
	}
	if drop == 0 {
		return
	}
	h.entries = append([]historyEntry(nil), h.entries[drop:]...)
}

// after returns records that follow the revision. They have at most maxBytes
// encoded bytes in total, except that a first record is always included. The
// result is false if records right after the revision are missing.
func (h *history) after(revision lagoonbarrow.Revision, maxBytes int) ([]lagoonbarrow.ContractRecord, bool) {
	if len(h.entries) == 0 || h.entries[0].record.Revision > revision+1 {
		return nil, false
	}
	var records []lagoonbarrow.ContractRecord
	total := 0
	start := int(revision + 1 - h.entries[0].record.Revision)
	for _, entry := range h.entries[start:] {
		total += entry.size
		if len(records) > 0 && total > maxBytes {
			break
		}
		records = append(records, entry.record)
	}
	return records, true
}

// recordSize returns the size of the record's JSON text in a message.
func recordSize(record lagoonbarrow.ContractRecord) int {
	text, err := json.Marshal(record)
	if err != nil {
		return MaxContractBytes
	}
	return len(text)
}
