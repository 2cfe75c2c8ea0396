package peer

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// BenchmarkCall reports quantiles of the duration of a call between two peers on
// loopback.
func BenchmarkCall(b *testing.B) {
	for _, kib := range []int{1, 64, 1024} {
		b.Run(strconv.Itoa(kib)+"KiB", func(b *testing.B) {
			_, target := startServer(b, echo, nil)
			client := newClient(b, func(config *ClientConfig) { config.SweepInterval = time.Second })
			call := newCall(make([]byte, kib<<10))
			times := hdrhistogram.New(1, int64(time.Minute), 3)
			b.ReportAllocs()
			for b.Loop() {
				call.ID = lagoonbarrow.NewCallID()
				start := time.Now()
				if _, err := client.Call(context.Background(), target, call); err != nil {
					b.Fatal(err)
				}
				_ = times.RecordValue(int64(time.Since(start)))
			}
			reportQuantiles(b, times)
		})
	}
}

func reportQuantiles(b *testing.B, times *hdrhistogram.Histogram) {
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, "p99-µs")
}

// BenchmarkControlMessage reports the bytes on the wire for one control message with a
// body of 200 bytes and its reply, over a new and over a kept connection.
func BenchmarkControlMessage(b *testing.B) {
	for name, kept := range map[string]int{"new-connection": -1, "kept-connection": 32} {
		b.Run(name, func(b *testing.B) {
			_, target := startServer(b, echo, echoProbes)
			scope := tally.NewTestScope("", nil)
			client := newClient(b, func(config *ClientConfig) {
				config.Scope = scope
				config.Advertise = target.Peer
				config.IdleControlConnections = kept
			})
			message := lagoonbarrow.Message{
				Kind: "probe",
				Body: make([]byte, 200),
			}
			for b.Loop() {
				if _, err := client.Send(context.Background(), target.Peer, message); err != nil {
					b.Fatal(err)
				}
			}
			counters := scope.Snapshot().Counters()
			b.ReportMetric(float64(counters["control-bytes-sent+"].Value())/float64(b.N), "sent-bytes/op")
			b.ReportMetric(float64(counters["control-bytes-received+"].Value())/float64(b.N), "received-bytes/op")
		})
	}
}
