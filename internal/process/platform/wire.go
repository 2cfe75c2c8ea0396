package platform

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// The outcomes of one write in a batch response.
const (
	outcomeWritten    = "written"
	outcomeConflict   = "conflict"
	outcomeNotWritten = "not-written"
)

// batchRequest is the body of POST /v1/batch.
type batchRequest struct {
	Atomic bool                 `json:"atomic"`
	Writes []lagoonbarrow.Write `json:"writes"`
}

// writeResult is the result of one write.
type writeResult struct {
	Outcome string                  `json:"outcome"`
	Version lagoonbarrow.RowVersion `json:"version"`
}

type batchResponse struct {
	Results []writeResult `json:"results"`
}

type scanResponse struct {
	Rows []lagoonbarrow.Row `json:"rows"`
}

const (
	// maxNameBytes limits the length of table names and row keys.
	maxNameBytes = 2048
	// maxValueBytes limits the size of a row's value. A batch with it, encoded in
	// base64, stays below the platform's limit of 16 MiB.
	maxValueBytes = 8 << 20
)

// checkName returns ErrInvalid for names that the platform would refuse, or that JSON
// would change because they are not UTF-8.
func checkName(table, key string) error {
	for _, name := range []string{table, key} {
		if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
			return errors.Wrap(lagoonbarrow.ErrInvalid, "platform: table or key is empty, too long or not UTF-8")
		}
	}
	return nil
}

// checkWrite returns an error for a write that would make the platform refuse its
// whole batch.
func checkWrite(write lagoonbarrow.Write) error {
	if len(write.Value) > maxValueBytes {
		return errors.Wrapf(lagoonbarrow.ErrTooLarge, "platform: value of %d bytes", len(write.Value))
	}
	return checkName(write.Table, write.Key)
}

// decodeBatch decodes the response to a batch of writes. It returns ErrInvalid if the
// response does not match the writes, whose outcome is then unknown.
func decodeBatch(body []byte, writes []lagoonbarrow.Write) ([]writeResult, error) {
	var decoded batchResponse
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: decode batch answer: %v", err)
	}
	if len(decoded.Results) != len(writes) {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: %d results for %d writes", len(decoded.Results), len(writes))
	}
	for i, result := range decoded.Results {
		if !isPossible(result, writes[i]) {
			return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: result %q at version %d does not fit its write", result.Outcome, result.Version)
		}
	}
	return decoded.Results, nil
}

// isPossible reports whether a write can have a result.
func isPossible(result writeResult, write lagoonbarrow.Write) bool {
	switch result.Outcome {
	case outcomeWritten:
		return result.Version == versionAfter(write)
	case outcomeConflict:
		return result.Version != write.Expected
	case outcomeNotWritten:
		return true
	default:
		return false
	}
}

// versionAfter returns the row's version after a successful write.
func versionAfter(write lagoonbarrow.Write) lagoonbarrow.RowVersion {
	if write.Delete {
		return 0
	}
	return write.Expected + 1
}

// decodeRow decodes the response to a read of one row.
func decodeRow(got response, table, key string) (lagoonbarrow.Row, error) {
	if got.status != fasthttp.StatusOK {
		return lagoonbarrow.Row{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d for a row", got.status)
	}
	var row lagoonbarrow.Row
	if err := json.Unmarshal(got.body, &row); err != nil {
		return lagoonbarrow.Row{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: decode row: %v", err)
	}
	if row.Table != table || row.Key != key || row.Version == 0 {
		return lagoonbarrow.Row{}, errors.Wrap(lagoonbarrow.ErrInvalid, "platform: answer is for another row")
	}
	return row, nil
}

// decodeScan decodes the response to a scan. It returns ErrInvalid for rows out of
// order or more rows than the limit, because the next page could skip rows.
func decodeScan(got response, table, after string, limit int) ([]lagoonbarrow.Row, error) {
	if got.status != fasthttp.StatusOK {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d for a scan", got.status)
	}
	var decoded scanResponse
	if err := json.Unmarshal(got.body, &decoded); err != nil {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: decode scan: %v", err)
	}
	if len(decoded.Rows) > limit {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "platform: more rows than asked for")
	}
	for _, row := range decoded.Rows {
		if row.Table != table || row.Key <= after || row.Version == 0 {
			return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "platform: scanned rows are out of order")
		}
		after = row.Key
	}
	return decoded.Rows, nil
}
