package feed

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// BenchmarkReplyAfterARestore measures the reply of a reader to a node of a fleet of the size
// to design for, of which a restore of the store has changed some rows.
func BenchmarkReplyAfterARestore(b *testing.B) {
	const (
		nodes        = 7800
		changedNodes = 40
		rowBytes     = 170
		rowsAt       = 2 * nodes
	)
	rows := func(era lagoonbarrow.Era) []lagoonbarrow.Row {
		var rows []lagoonbarrow.Row
		for i := range nodes {
			row := lagoonbarrow.Row{
				Table:   tableName,
				Key:     fmt.Sprintf("node-%d", i),
				Version: lagoonbarrow.NewRowVersion(era, uint64(i+1)),
				Value:   bytes.Repeat([]byte("v"), rowBytes),
			}
			if era > 1 && i < changedNodes {
				row.Value = bytes.Repeat([]byte("w"), rowBytes)
			}
			rows = append(rows, row)
		}
		return rows
	}
	handler := &Handler{
		Cache: newReadCache([]read{
			{
				rows:    rows(1),
				version: lagoonbarrow.NewRowVersion(1, rowsAt),
			},
			{
				rows:    rows(2),
				version: lagoonbarrow.NewRowVersion(2, rowsAt),
			},
		}),
	}
	body, err := msgpack.Marshal(changesRequest{
		Table: tableName,
		After: lagoonbarrow.NewRowVersion(1, rowsAt),
	})
	if err != nil {
		b.Fatal(err)
	}
	size := 0
	for b.Loop() {
		reply, err := handler.HandleMessage(context.Background(), "", lagoonbarrow.Message{
			Kind: kindChanges,
			Body: body,
		})
		if err != nil {
			b.Fatal(err)
		}
		size = len(reply.Body)
	}
	b.ReportMetric(float64(size), "bytes/reply")
}
