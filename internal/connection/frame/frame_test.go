package frame

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lagoonbarrow"
)

// Guards against goroutines that outlive a reader or writer.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type sample struct {
	Name   string                     `msgpack:"name"`
	Data   []byte                     `msgpack:"data,omitempty"`
	Fields []lagoonbarrow.HeaderField `msgpack:"fields,omitempty"`
}

// addHeader returns a body with a valid header before it.
func addHeader(body []byte) []byte {
	raw := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	raw = binary.BigEndian.AppendUint32(raw, crc32.Checksum(body, castagnoli))
	return append(raw, body...)
}

// encodeFrame returns the frame that a Writer writes for the value.
func encodeFrame(t testing.TB, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := NewWriter(&out, 0).Write(value); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against decoded values that share a buffer with later frames, which would
// change them.
func TestValuesSurviveLaterFrames(t *testing.T) {
	var stream bytes.Buffer
	writer := NewWriter(&stream, 0)
	names := []string{"a", strings.Repeat("b", 10000), "", "c"}
	for _, name := range names {
		value := sample{
			Name: name,
			Data: []byte(name),
		}
		if err := writer.Write(value); err != nil {
			t.Fatal(err)
		}
	}
	reader := NewReader(&stream, 0)
	values := make([]sample, len(names))
	for i := range values {
		if err := reader.Read(&values[i]); err != nil {
			t.Fatal(err)
		}
		reader.Release()
	}
	for i, name := range names {
		if values[i].Name != name || string(values[i].Data) != name {
			t.Fatalf("frame %d changed", i)
		}
	}
	if err := reader.Read(&sample{}); err != io.EOF {
		t.Fatalf("end of stream: %v", err)
	}
}

// Guards against accepting a damaged or truncated frame.
func TestDamagedFramesAreRefused(t *testing.T) {
	raw := encodeFrame(t, sample{
		Name: "minutes",
	})
	for i := range raw {
		damaged := bytes.Clone(raw)
		damaged[i] ^= 0x10
		err := NewReader(bytes.NewReader(damaged), 0).Read(&sample{})
		if !errors.Is(err, lagoonbarrow.ErrInvalidFrame) && !errors.Is(err, lagoonbarrow.ErrTooLarge) {
			t.Errorf("byte %d damaged: %v", i, err)
		}
		if i == 0 {
			continue
		}
		err = NewReader(bytes.NewReader(raw[:i]), 0).Read(&sample{})
		if !errors.Is(err, lagoonbarrow.ErrInvalidFrame) {
			t.Errorf("cut after byte %d: %v", i, err)
		}
	}
}

// Guards against accepting bodies with bytes after the value, and bodies that are not
// msgpack or are nested too deeply.
func TestBodiesMustBeOneValue(t *testing.T) {
	bodies := [][]byte{
		{},
		{0xc1},
		{0x80, 0x80},
		bytes.Repeat([]byte{0x91}, DefaultBytes),
		{0x81, 0xa4, 'n', 'a', 'm', 'e', 0x91, 0x01},
	}
	for i, body := range bodies {
		err := NewReader(bytes.NewReader(addHeader(body)), 0).Read(&sample{})
		if !errors.Is(err, lagoonbarrow.ErrInvalidFrame) {
			t.Errorf("body %d: %v", i, err)
		}
	}
}

// Guards against frames over the limit in either direction, and against a refused
// frame that discards the frames appended before it.
func TestLimit(t *testing.T) {
	var stream bytes.Buffer
	writer := NewWriter(&stream, 100)
	if err := writer.Append(sample{
		Name: "kept",
	}); err != nil {
		t.Fatal(err)
	}
	if err := writer.Append(sample{
		Name: strings.Repeat("x", 100),
	}); !errors.Is(err, lagoonbarrow.ErrTooLarge) {
		t.Fatalf("a large frame was written: %v", err)
	}
	if err := writer.Flush(); err != nil {
		t.Fatal(err)
	}
	stream.Write(encodeFrame(t, sample{
		Name: strings.Repeat("x", 100),
	}))
	reader := NewReader(&stream, 100)
	var value sample
	if err := reader.Read(&value); err != nil || value.Name != "kept" {
		t.Fatalf("the frame before was lost: %v", err)
	}
	if err := reader.Read(&value); !errors.Is(err, lagoonbarrow.ErrTooLarge) {
		t.Fatalf("a large frame was read: %v", err)
	}
}

// Guards against a short frame that makes the decoder allocate gigabytes by declaring
// large lengths.
func TestDeclaredLengthsDoNotAllocate(t *testing.T) {
	hugeLength := []byte{0xff, 0xff, 0xff, 0xf0}
	bodies := [][]byte{
		append([]byte{0x81, 0xa6, 'f', 'i', 'e', 'l', 'd', 's', 0xdd}, hugeLength...),
		append([]byte{0x81, 0xa4, 'd', 'a', 't', 'a', 0xc6}, hugeLength...),
		append([]byte{0x81, 0xa4, 'n', 'a', 'm', 'e', 0xdb}, hugeLength...),
		append([]byte{0xdf}, hugeLength...),
	}
	for i, body := range bodies {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := NewReader(bytes.NewReader(addHeader(body)), 0).Read(&sample{})
		runtime.ReadMemStats(&after)
		if !errors.Is(err, lagoonbarrow.ErrInvalidFrame) {
			t.Errorf("body %d: %v", i, err)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 8<<20 {
			t.Errorf("body %d: %d bytes were allocated", i, allocated)
		}
	}
}

// Guards against memory that grows with each invalid frame because a decoder is reused
// and keeps its grown buffer.
func TestInvalidFramesDoNotAccumulateMemory(t *testing.T) {
	const frames = 64
	body := append([]byte{0x81, 0xa4, 'n', 'a', 'm', 'e', 0xdb}, 0xff, 0xff, 0xff, 0xf0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		if err := NewReader(bytes.NewReader(addHeader(body)), 0).Read(&sample{}); err == nil {
			t.Fatal("the frame was read")
		}
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > frames*4<<20 {
		t.Fatalf("%d bytes were allocated", allocated)
	}
}

// FuzzReader guards against input that makes the reader panic, loop forever, or accept
// a value that changes when it is encoded again.
func FuzzReader(f *testing.F) {
	f.Add(encodeFrame(f, sample{
		Name: "minutes",
		Data: []byte{1, 2},
	}))
	f.Add(addHeader([]byte{0x81, 0xa6, 'f', 'i', 'e', 'l', 'd', 's', 0x91, 0x80}))
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 0xc0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, stream := range [][]byte{raw, addHeader(raw)} {
			reader := NewReader(bytes.NewReader(stream), 1<<16)
			for {
				var value, reencoded sample
				if err := reader.Read(&value); err != nil {
					break
				}
				if err := NewReader(bytes.NewReader(encodeFrame(t, value)), 0).Read(&reencoded); err != nil {
					t.Fatal(err)
				}
				if value.Name != reencoded.Name || !bytes.Equal(value.Data, reencoded.Data) || len(value.Fields) != len(reencoded.Fields) {
					t.Fatal("the value changed")
				}
			}
		}
	})
}
