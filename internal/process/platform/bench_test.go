package platform

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
)

// BenchmarkPut measures conditional writes of distinct rows by 64 callers for
// each processor.
func BenchmarkPut(b *testing.B) {
	benchmarkPut(b, Config{})
}

// BenchmarkPutUnbatched measures the same writes with one request for each.
func BenchmarkPutUnbatched(b *testing.B) {
	benchmarkPut(b, Config{
		MaxBatchWrites: 1,
	})
}

func benchmarkPut(b *testing.B, config Config) {
	client, server := startPair(b, config)
	var next atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := strconv.FormatInt(next.Add(1), 10)
			if _, err := client.Put(context.Background(), newWrite(key, 0)); err != nil {
				b.Error(err)
				return
			}
		}
	})
	stats := server.Stats()
	b.ReportMetric(float64(stats.Writes)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(stats.Writes)/float64(stats.Batches), "writes/batch")
}
