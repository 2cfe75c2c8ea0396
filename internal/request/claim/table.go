package claim

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// stored is a row as it was read. Version 0 means that there is none.
type stored struct {
	row     row
	version lagoonbarrow.RowVersion
	// damaged is set when the value can't be decoded.
	damaged error
}

// newWriteID returns a random id for one write.
func newWriteID() string {
	return string(lagoonbarrow.NewChangeID())
}

func (c *Claims) put(ctx context.Context, of identity, r row, expected lagoonbarrow.RowVersion) (lagoonbarrow.RowVersion, error) {
	value, err := encodeRow(r)
	if err != nil {
		return 0, err
	}
	return c.config.Table.Put(ctx, lagoonbarrow.Write{
		Table:    Table,
		Key:      of.rowKey(),
		Expected: expected,
		Value:    value,
	})
}

// read returns the present row. It tries again after a lost answer, because a
// read decides whether a request may run.
func (c *Claims) read(ctx context.Context, of identity) (stored, error) {
	var err error
	for range readTries {
		var found lagoonbarrow.Row
		found, err = c.config.Table.Get(ctx, Table, of.rowKey())
		if errors.Is(err, lagoonbarrow.ErrNotFound) {
			return stored{}, nil
		}
		if err == nil {
			decoded, damaged := decodeRow(found.Value)
			return stored{
				row:     decoded,
				version: found.Version,
				damaged: damaged,
			}, nil
		}
		if ctx.Err() != nil || !c.config.Table.Available() {
			break
		}
	}
	return stored{}, errors.Wrap(err, "claim: read")
}
