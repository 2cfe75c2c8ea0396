package contract

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Tables and keys of the platform's table service.
const (
	tableContracts = "contracts"
	tableHead      = "contract-head"
	tableChanges   = "contract-changes"
	// tableKeys holds one row per API key hash in use. The rows are written in
	// the transaction of the contract, so a hash belongs to one customer.
	tableKeys = "contract-keys"
	headKey   = "_head"
)

// scanPageSize is the maximum number of rows read by one scan.
const scanPageSize = 200

type headRow struct {
	Revision lagoonbarrow.Revision `json:"revision"`
}

type keyRow struct {
	Customer lagoonbarrow.CustomerID `json:"customer"`
}

// changeKey returns the revision with 20 digits. The key order of the table is
// then the order of revisions.
func changeKey(revision lagoonbarrow.Revision) string {
	return fmt.Sprintf("%020d", uint64(revision))
}

func encodeRow(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	return text, errors.Wrap(err, "contract: encode row")
}

func decodeRecord(row lagoonbarrow.Row) (lagoonbarrow.ContractRecord, error) {
	var record lagoonbarrow.ContractRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, errors.Wrapf(err, "contract: decode row %s/%s", row.Table, row.Key)
	}
	if err := checkRecord(record); err != nil {
		return record, errors.Wrapf(err, "contract: decode row %s/%s", row.Table, row.Key)
	}
	return record, nil
}

// checkRecord rejects records that a Store cannot have written.
func checkRecord(record lagoonbarrow.ContractRecord) error {
	if record.Customer == "" || record.Version == 0 || record.Revision == 0 {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "record without customer, version or revision")
	}
	if record.Retired != (record.Contract == nil) {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "record both retired and in force")
	}
	return nil
}

// readHead returns the revision and the version of the head row. Both are 0
// before the first change.
func readHead(ctx context.Context, table lagoonbarrow.Table) (lagoonbarrow.Revision, lagoonbarrow.RowVersion, error) {
	row, err := table.Get(ctx, tableHead, headKey)
	if errors.Is(err, lagoonbarrow.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, errors.Wrap(err, "contract: read head")
	}
	var head headRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, 0, errors.Wrap(err, "contract: decode head")
	}
	return head.Revision, row.Version, nil
}

// readChanges returns up to scanPageSize change records after a revision, in
// order. It stops at the first missing revision.
func readChanges(ctx context.Context, table lagoonbarrow.Table, after lagoonbarrow.Revision) ([]lagoonbarrow.ContractRecord, error) {
	rows, err := table.Scan(ctx, tableChanges, changeKey(after), scanPageSize)
	if err != nil {
		return nil, errors.Wrap(err, "contract: read changes")
	}
	records := make([]lagoonbarrow.ContractRecord, 0, len(rows))
	for _, row := range rows {
		record, err := decodeRecord(row)
		if err != nil {
			return nil, err
		}
		if record.Revision != after+1 {
			break
		}
		records = append(records, record)
		after = record.Revision
	}
	return records, nil
}

// scanContracts returns all records of the contracts table. The timeout applies
// to each page, because a large table has many pages.
func scanContracts(ctx context.Context, table lagoonbarrow.Table, pageTimeout time.Duration) ([]lagoonbarrow.ContractRecord, error) {
	var records []lagoonbarrow.ContractRecord
	after := ""
	for {
		rows, err := scanPage(ctx, table, after, pageTimeout)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return records, nil
		}
		for _, row := range rows {
			record, err := decodeRecord(row)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
		after = rows[len(rows)-1].Key
	}
}

func scanPage(ctx context.Context, table lagoonbarrow.Table, after string, timeout time.Duration) ([]lagoonbarrow.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := table.Scan(ctx, tableContracts, after, scanPageSize)
	return rows, errors.Wrap(err, "contract: scan contracts")
}
