package claim

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"lagoonbarrow"
	client "lagoonbarrow/internal/process/platform"
	standin "lagoonbarrow/internal/standin/platform"
)

// BenchmarkAcquireAndComplete measures Acquire and Complete on distinct keys against
// the stand-in, with 64 concurrent callers per processor.
func BenchmarkAcquireAndComplete(b *testing.B) {
	server := standin.New(standin.Config{
		Address: "127.0.0.1:0",
	})
	address, err := server.Start()
	if err != nil {
		b.Fatal(err)
	}
	table := client.New(client.Config{
		Address: address,
	})
	claims := New(Config{
		Table: table,
		Self:  "node-1",
	})
	if err := claims.Start(); err != nil {
		b.Fatal(err)
	}
	var next atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := strconv.FormatInt(next.Add(1), 10)
			call := newCall(lagoonbarrow.AttemptID(id), 0)
			call.Key = id
			claim, err := claims.Acquire(context.Background(), call, time.Now().Add(time.Minute))
			if err == nil {
				err = claims.Complete(context.Background(), claim, doneAnswer(201, "paid"))
			}
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(next.Load())/b.Elapsed().Seconds(), "claims/s")
	_ = claims.Stop()
	_ = table.Stop()
	_ = server.Stop()
}
