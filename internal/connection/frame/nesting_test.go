package frame

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// Guards against a process that ends because a value of another process is nested so deeply
// that decoding overflows the stack.
func TestDeeplyNestedValuesAreRefused(t *testing.T) {
	const depth = 4 << 20
	tests := []struct {
		name string
		raw  []byte
	}{
		{
			name: "arrays",
			raw:  append(bytes.Repeat([]byte{0x91}, depth), 0xc0),
		},
		{
			name: "maps",
			raw:  append(bytes.Repeat([]byte{0x81, 0xa1, 'x'}, depth), 0xc0),
		},
		{
			name: "long arrays",
			raw:  append(bytes.Repeat([]byte{0xdd, 0, 0, 0, 1}, depth), 0xc0),
		},
		{
			name: "an unknown field",
			raw:  append(append([]byte{0x82, 0xa4, 'n', 'a', 'm', 'e', 0xa1, 'a', 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, depth)...), 0xc0),
		},
		{
			name: "a level too many",
			raw:  append(bytes.Repeat([]byte{0x91}, maxDepth), 0xc0),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var value sample
			if err := Unmarshal(test.raw, &value); !errors.Is(err, lagoonbarrow.ErrInvalidFrame) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against values of a usual depth that are refused, and against incomplete ones that
// are accepted.
func TestNestedValuesAreChecked(t *testing.T) {
	raw, err := msgpack.Marshal(map[string]any{
		"list":  []any{1, "a", []byte{1, 2}, 1.5, nil, true, []any{}, map[string]any{}},
		"map":   map[string]any{"x": map[string]any{"y": []any{[]any{[]any{7}}}}},
		"large": make([]int, 70_000),
	})
	if err != nil {
		t.Fatal(err)
	}
	var value map[string]any
	if err := Unmarshal(raw, &value); err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{1, len(raw) / 2, len(raw) - 1} {
		if err := Unmarshal(raw[:size], &value); !errors.Is(err, lagoonbarrow.ErrInvalidFrame) {
			t.Errorf("the first %d of %d bytes: error %v", size, len(raw), err)
		}
	}
	if err := Unmarshal(append(raw, 0xc0), &value); !errors.Is(err, lagoonbarrow.ErrInvalidFrame) {
		t.Errorf("with a byte more: error %v", err)
	}
}
