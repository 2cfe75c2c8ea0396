package header

import "testing"

// Guards against a header of one connection, or of nodes, that is forwarded, and against another one
// that isn't.
func TestForwardedHeaders(t *testing.T) {
	tests := []struct {
		name     string
		hopByHop bool
		internal bool
	}{
		{
			name:     "transfer-encoding",
			hopByHop: true,
		},
		{
			name:     "content-length",
			hopByHop: true,
		},
		{
			name:     "lagoonbarrow-outcome",
			internal: true,
		},
		{
			name: "content-type",
		},
		{
			name: "x-lagoonbarrow-outcome",
		},
	}
	for _, test := range tests {
		if IsHopByHop(test.name) != test.hopByHop || IsInternal(test.name) != test.internal {
			t.Errorf("%s: hop-by-hop %t, internal %t", test.name, IsHopByHop(test.name), IsInternal(test.name))
		}
	}
}
