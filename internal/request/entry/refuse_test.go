package entry

import (
	"testing"
	"time"

	"lagoonbarrow"
)

// BenchmarkRefuse measures the time in the handler for a refused request with ten
// headers and a body of 64 KiB.
func BenchmarkRefuse(b *testing.B) {
	cases := []struct {
		name         string
		dependencies fakeDependencies
		threshold    lagoonbarrow.Threshold
	}{
		{
			name: "quota",
			dependencies: fakeDependencies{
				overQuota: true,
			},
		},
		{
			name:         "threshold",
			dependencies: fakeDependencies{},
			threshold:    256,
		},
		{
			name: "platform",
			dependencies: fakeDependencies{
				platformDown: true,
			},
		},
	}
	var headers []string
	for _, name := range []string{"Accept", "Accept-Language", "User-Agent", "X-A", "X-B", "X-C", "X-D", "X-E"} {
		headers = append(headers, name, "some value of usual length")
	}
	headers = append(headers, "Idempotency-Key", "k-1")
	for i := range cases {
		b.Run(cases[i].name, func(b *testing.B) {
			cases[i].dependencies.answer.Threshold = cases[i].threshold
			cases[i].dependencies.answer.Stamp.Wall = 1
			listener := cases[i].dependencies.listener()
			now := time.Now()
			listener.thresholds.now = func() time.Time { return now }
			request := newRequest("POST", "/orders/1", make([]byte, 64<<10), headers...)
			for range 64 {
				listener.thresholds.observe(classKey{
					customer: "residents",
					class:    "orders",
				}, cases[i].threshold)
			}
			b.ReportAllocs()
			for b.Loop() {
				listener.serve(request)
			}
			if request.Response.StatusCode() == 200 {
				b.Fatal("the request was not refused")
			}
		})
	}
}
