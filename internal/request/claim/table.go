package claim

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// storedRow is a row as read from the table. Version 0 means that there is none.
type storedRow struct {
	row     row
	version lagoonbarrow.RowVersion
	// decodeErr is set when the value can't be decoded.
	decodeErr error
}

// newWriteID returns a random id for one write.
func newWriteID() string {
	return string(lagoonbarrow.NewChangeID())
}

func (c *Claims) put(ctx context.Context, id identity, r row, expected lagoonbarrow.RowVersion) (lagoonbarrow.RowVersion, error) {
	value, err := encodeRow(r)
	if err != nil {
		return 0, err
	}
	return c.config.Table.Put(ctx, lagoonbarrow.Write{
		Table:    Table,
		Key:      id.rowKey(),
		Expected: expected,
		Value:    value,
	})
}

// read returns the current row. It tries up to maxReadTries times while the
// table is available, because the result decides whether a request may run.
func (c *Claims) read(ctx context.Context, id identity) (storedRow, error) {
	var err error
	for range maxReadTries {
		var found lagoonbarrow.Row
		found, err = c.config.Table.Get(ctx, Table, id.rowKey())
		if errors.Is(err, lagoonbarrow.ErrNotFound) {
			return storedRow{}, nil
		}
		if err == nil {
			decoded, decodeErr := decodeRow(found.Value)
			return storedRow{
				row:       decoded,
				version:   found.Version,
				decodeErr: decodeErr,
			}, nil
		}
		if ctx.Err() != nil || !c.config.Table.Available() {
			break
		}
	}
	return storedRow{}, errors.Wrap(err, "claim: read")
}
