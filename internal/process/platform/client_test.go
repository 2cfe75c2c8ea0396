package platform

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	standin "lagoonbarrow/internal/standin/platform"
)

// Guards against ErrUnavailable for a write that took effect, and against
// ErrOutcomeUnknown for one that certainly did not.
func TestOutcomesOfFailedWrites(t *testing.T) {
	late := lagoonbarrow.Duration(200 * time.Millisecond)
	cases := []struct {
		name   string
		faults standin.Faults
		want   error
		// written is set if the write takes effect in the end.
		written bool
	}{
		{
			name: "refused",
			faults: standin.Faults{
				Down: standin.DownRefuse,
			},
			want: lagoonbarrow.ErrUnavailable,
		},
		{
			name: "hanging",
			faults: standin.Faults{
				Down: standin.DownHang,
			},
			want: lagoonbarrow.ErrOutcomeUnknown,
		},
		{
			name: "answer lost",
			faults: standin.Faults{
				LoseAnswers: 1,
			},
			want:    lagoonbarrow.ErrOutcomeUnknown,
			written: true,
		},
		{
			name: "late",
			faults: standin.Faults{
				DelayWrites: late,
			},
			want:    lagoonbarrow.ErrOutcomeUnknown,
			written: true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client, server := startPair(t, Config{
				Timeout: 50 * time.Millisecond,
			})
			server.SetFaults(c.faults)
			wantError(t, "put", put(client, "put", 0), c.want)
			wantError(t, "transact", client.Transact(context.Background(), []lagoonbarrow.Write{newWrite("transact", 0)}), c.want)
			_, err := client.PutObject(context.Background(), "object", []byte("x"), "")
			wantError(t, "put object", err, c.want)
			server.SetFaults(standin.Faults{})
			if c.written {
				eventually(t, "all writes take effect", func() bool { return server.Stats().Writes == 3 })
				if stats := server.Stats(); stats.Batches != 2 || stats.Conflicts != 0 {
					t.Errorf("a request was repeated: %+v", stats)
				}
				return
			}
			_, err = client.Get(context.Background(), "claims", "put")
			wantError(t, "get", err, lagoonbarrow.ErrNotFound)
		})
	}
}

// Guards against ErrOutcomeUnknown when no connection could be established.
func TestConnectionRefusedIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := New(Config{
		Address: lagoonbarrow.Address(listener.Addr().String()),
	})
	_ = listener.Close()
	defer func() { _ = client.Stop() }()
	wantError(t, "put", put(client, "key", 0), lagoonbarrow.ErrUnavailable)
}

// Guards against calls that hang or panic after Stop.
func TestStoppedClientIsUnavailable(t *testing.T) {
	client, _ := startPair(t, Config{})
	if err := client.Stop(); err != nil {
		t.Fatal(err)
	}
	wantError(t, "put", put(client, "key", 0), lagoonbarrow.ErrUnavailable)
	_, err := client.Get(context.Background(), "claims", "key")
	wantError(t, "get", err, lagoonbarrow.ErrUnavailable)
	wantError(t, "start", client.Start(), lagoonbarrow.ErrStopping)
}

// Guards against an invalid write that makes the platform refuse the whole batch.
func TestInvalidWritesAreNotSent(t *testing.T) {
	client, server := startPair(t, Config{})
	wantError(t, "no key", put(client, "", 0), lagoonbarrow.ErrInvalid)
	wantError(t, "not UTF-8", put(client, "\xff", 0), lagoonbarrow.ErrInvalid)
	large := newWrite("large", 0)
	large.Value = make([]byte, maxValueBytes+1)
	_, err := client.Put(context.Background(), large)
	wantError(t, "large value", err, lagoonbarrow.ErrTooLarge)
	if batches := server.Stats().Batches; batches != 0 {
		t.Errorf("%d batches were sent", batches)
	}
}

// Guards against keys that are altered by the path or the query string, and against
// rows that are skipped between pages.
func TestKeysAndPages(t *testing.T) {
	client, _ := startPair(t, Config{})
	ctx := context.Background()
	for _, key := range []string{"a/b", "a%2Fb", "../x", "?q=1&b", "é ", "a//b"} {
		if err := put(client, key, 0); err != nil {
			t.Fatal(err)
		}
		row, err := client.Get(ctx, "claims", key)
		if err != nil || string(row.Value) != key {
			t.Errorf("key %q: read %q, %v", key, row.Value, err)
		}
	}
	var writes []lagoonbarrow.Write
	for i := range 2100 {
		write := newWrite(fmt.Sprintf("%05d", i), 0)
		write.Table = "pages"
		writes = append(writes, write)
	}
	for len(writes) > 0 {
		if err := client.Transact(ctx, writes[:100]); err != nil {
			t.Fatal(err)
		}
		writes = writes[100:]
	}
	rows, err := client.Scan(ctx, "pages", "00009", 2050)
	if err != nil || len(rows) != 2050 || rows[0].Key != "00010" || rows[2049].Key != "02059" {
		t.Errorf("%d rows: %v", len(rows), err)
	}
}

// Guards against a transaction that takes effect partially.
func TestTransactIsAtomic(t *testing.T) {
	client, _ := startPair(t, Config{})
	ctx := context.Background()
	if err := client.Transact(ctx, []lagoonbarrow.Write{newWrite("a", 0), newWrite("b", 0)}); err != nil {
		t.Fatal(err)
	}
	err := client.Transact(ctx, []lagoonbarrow.Write{newWrite("a", 1), newWrite("b", 0), newWrite("c", 0)})
	wantError(t, "conflict", err, lagoonbarrow.ErrConflict)
	rows, err := client.Scan(ctx, "claims", "", 10)
	if err != nil || len(rows) != 2 || rows[0].Version != 1 {
		t.Errorf("rows are %v: %v", rows, err)
	}
}

// Guards against a write that overwrites the object of a concurrent writer.
func TestObjectsCompareETags(t *testing.T) {
	client, _ := startPair(t, Config{})
	ctx := context.Background()
	_, _, err := client.GetObject(ctx, "a/b")
	wantError(t, "missing object", err, lagoonbarrow.ErrNotFound)
	first, err := client.PutObject(ctx, "a/b", []byte("1"), "")
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.PutObject(ctx, "a/b", []byte("2"), "")
	wantError(t, "existing object", err, lagoonbarrow.ErrConflict)
	second, err := client.PutObject(ctx, "a/b", []byte("2"), first)
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.PutObject(ctx, "a/b", []byte("3"), first)
	wantError(t, "old ETag", err, lagoonbarrow.ErrConflict)
	body, etag, err := client.GetObject(ctx, "a/b")
	if err != nil || string(body) != "2" || etag != second {
		t.Errorf("read %q with ETag %s: %v", body, etag, err)
	}
}

// Guards against decoders that panic, or that accept a response that does not match
// its request.
func FuzzDecodeAnswers(f *testing.F) {
	f.Add(200, []byte(`{"results":[{"outcome":"written","version":1},{"outcome":"conflict","version":3}]}`))
	f.Add(409, []byte(`{"results":[{"outcome":"conflict","version":1},{"outcome":"not-written","version":2}]}`))
	f.Add(200, []byte(`{"table":"claims","key":"a","version":1,"value":"eA=="}`))
	f.Add(200, []byte(`{"rows":[{"table":"claims","key":"b","version":1}]}`))
	f.Add(404, []byte(`{"error":"no such row"}`))
	writes := []lagoonbarrow.Write{newWrite("a", 0), newWrite("b", 2)}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		got := response{
			status: status,
			body:   body,
		}
		results, err := decodeNonAtomic(got, writes)
		if err == nil && (status != fasthttp.StatusOK || len(results) != len(writes)) {
			t.Errorf("batch answer accepted: %v", results)
		}
		if decodeTransaction(got, writes) == nil && (results[0].Version != 1 || results[1].Version != 3) {
			t.Errorf("transaction accepted: %v", results)
		}
		row, err := decodeRow(got, "claims", "a")
		if err == nil && (row.Key != "a" || row.Version == 0) {
			t.Errorf("row accepted: %v", row)
		}
		rows, err := decodeScan(got, "claims", "a", 2)
		if err == nil && (len(rows) > 2 || (len(rows) > 0 && rows[0].Key <= "a")) {
			t.Errorf("scan accepted: %v", rows)
		}
	})
}
