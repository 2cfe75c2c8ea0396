package claim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// putStep determines the effect and the result of one Put.
type putStep func(lagoonbarrow.Write) (lagoonbarrow.RowVersion, error)

// scriptedTable is an in-memory table whose next Puts and Gets follow a script.
// After the script it works without faults.
type scriptedTable struct {
	faultTable

	scriptMutex sync.Mutex
	puts        []putStep
	gets        []error
	calls       int
}

func newScriptedTable() *scriptedTable {
	table := &scriptedTable{}
	table.rows = map[string]lagoonbarrow.Row{}
	return table
}

func (s *scriptedTable) Put(_ context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	s.scriptMutex.Lock()
	defer s.scriptMutex.Unlock()
	s.calls++
	if len(s.puts) == 0 {
		return s.apply(write)
	}
	step := s.puts[0]
	s.puts = s.puts[1:]
	return step(write)
}

func (s *scriptedTable) Get(_ context.Context, _, key string) (lagoonbarrow.Row, error) {
	s.scriptMutex.Lock()
	defer s.scriptMutex.Unlock()
	s.calls++
	if len(s.gets) > 0 {
		err := s.gets[0]
		s.gets = s.gets[1:]
		if err != nil {
			return lagoonbarrow.Row{}, err
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.rows[key]
	if found.Version == 0 {
		return found, lagoonbarrow.ErrNotFound
	}
	return found, nil
}

// applyAndLoseAnswer applies a write and returns ErrOutcomeUnknown.
func (s *scriptedTable) applyAndLoseAnswer(write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	_, _ = s.apply(write)
	return 0, lagoonbarrow.ErrOutcomeUnknown
}

// delayed returns a step that holds a write back, and a function that applies it.
func (s *scriptedTable) delayed() (putStep, func() error) {
	var pending lagoonbarrow.Write
	step := func(write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
		pending = write
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	return step, func() error {
		_, err := s.apply(pending)
		return err
	}
}

func refuseWrite(lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	return 0, lagoonbarrow.ErrUnavailable
}

// recorder collects the events of a test.
type recorder struct {
	mutex  sync.Mutex
	events []string
}

func (r *recorder) Record(kind event.Kind, fields event.Fields) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, kind.Name+" "+fields.Detail)
}

func (r *recorder) contains(text string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return strings.Contains(strings.Join(r.events, "\n"), text)
}

func newClaims(t *testing.T, table lagoonbarrow.Table, change func(*Config)) (*Claims, *recorder) {
	t.Helper()
	events := &recorder{}
	config := Config{
		Table:         table,
		Self:          "node-1",
		RetryDelay:    time.Millisecond,
		RetryDelayMax: 2 * time.Millisecond,
		Recorder:      events,
	}
	if change != nil {
		change(&config)
	}
	claims := New(config)
	if err := claims.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = claims.Stop() })
	return claims, events
}

// newClock returns a stopped clock and a function that advances it.
func newClock() (func() time.Time, func(time.Duration)) {
	var offset atomic.Int64
	start := time.Now()
	now := func() time.Time { return start.Add(time.Duration(offset.Load())) }
	return now, func(by time.Duration) { offset.Add(int64(by)) }
}

func newCall(attempt lagoonbarrow.AttemptID, expected lagoonbarrow.RowVersion) *lagoonbarrow.Call {
	return &lagoonbarrow.Call{
		Customer:        "tambo-claro",
		Key:             "payment-7",
		Attempt:         attempt,
		ExpectedVersion: expected,
		Method:          "POST",
		Path:            "/payments",
		Body:            []byte("42"),
	}
}

func futureDeadline() time.Time {
	return time.Now().Add(time.Minute)
}

func wantError(t *testing.T, step string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("%s: got error %v, want %v", step, got, want)
	}
}

func doneAnswer(status int, body string) *lagoonbarrow.Answer {
	return &lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  status,
		Header: []lagoonbarrow.HeaderField{{
			Name:  "X-Name",
			Value: "caf\xe9",
		}},
		Body: []byte(body),
	}
}

// waitForState waits until a background write has set the row's state.
func waitForState(t *testing.T, claims *Claims, state lagoonbarrow.ClaimState) lagoonbarrow.Claim {
	t.Helper()
	for range 2000 {
		found, err := claims.Lookup(context.Background(), "tambo-claro", "payment-7")
		if err == nil && found.State == state {
			return found
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the row was not %s in time", state)
	return lagoonbarrow.Claim{}
}

// Guards against a write for a request whose deadline has passed.
func TestAcquireAfterDeadlineDoesNotWrite(t *testing.T) {
	table := newScriptedTable()
	claims, _ := newClaims(t, table, nil)
	_, err := claims.Acquire(context.Background(), newCall("a", 0), time.Now())
	wantError(t, "acquire", err, lagoonbarrow.ErrDeadline)
	if table.calls != 0 {
		t.Errorf("the table was called %d times", table.calls)
	}
}

// Guards against running a request after a pause past its deadline during the claim.
func TestAcquireVoidsWhenPausedPastDeadline(t *testing.T) {
	table := newScriptedTable()
	now, advance := newClock()
	claims, _ := newClaims(t, table, func(config *Config) { config.Now = now })
	table.puts = []putStep{
		func(write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
			advance(time.Second)
			return table.apply(write)
		},
	}
	_, err := claims.Acquire(context.Background(), newCall("a", 0), now().Add(time.Second))
	wantError(t, "acquire", err, lagoonbarrow.ErrDeadline)
	waitForState(t, claims, lagoonbarrow.ClaimVoided)
}

// Guards against a claim held by two nodes at once, after a call frame reached
// both and both lost the answer to their claim write.
func TestDuplicateOnAnotherNodeIsRefused(t *testing.T) {
	table := newScriptedTable()
	first, _ := newClaims(t, table, nil)
	second, _ := newClaims(t, table, nil)
	table.puts = []putStep{table.applyAndLoseAnswer, table.applyAndLoseAnswer}
	claim, err := first.Acquire(context.Background(), newCall("a", 0), futureDeadline())
	if err != nil || claim.Version != 1 {
		t.Fatalf("the first node should hold the claim after reading its write back: %v %v", claim, err)
	}
	_, err = second.Acquire(context.Background(), newCall("a", 0), futureDeadline())
	wantError(t, "second node", err, lagoonbarrow.ErrClaimed)
	_, err = first.Acquire(context.Background(), newCall("a", 0), futureDeadline())
	wantError(t, "duplicate on the first node", err, lagoonbarrow.ErrClaimed)
}

// Guards against a claim that succeeds after its attempt was declared not run:
// its write arrives late, and another attempt has claimed the key in between.
func TestLateClaimLosesToVoidAndNextAttempt(t *testing.T) {
	table := newScriptedTable()
	executor, _ := newClaims(t, table, nil)
	entry, _ := newClaims(t, table, nil)
	step, deliver := table.delayed()
	// The executor's background void and the entry node's void race; either may win.
	table.puts = []putStep{step}
	ctx := context.Background()
	_, err := executor.Acquire(ctx, newCall("a", 0), futureDeadline())
	wantError(t, "acquire", err, lagoonbarrow.ErrUnavailable)
	voided, err := entry.VoidAttempt(ctx, newCall("a", 0))
	if err != nil || voided.Version != 1 {
		t.Fatalf("void: %v %v", voided, err)
	}
	claim, err := executor.Acquire(ctx, newCall("b", voided.Version), futureDeadline())
	if err != nil {
		t.Fatal(err)
	}
	wantError(t, "late claim", deliver(), lagoonbarrow.ErrConflict)
	if found := waitForState(t, entry, lagoonbarrow.ClaimHeld); found.Attempt != "b" || found.Version != claim.Version {
		t.Errorf("the key is held by %v", found)
	}
}

// Guards against a claim that stays in the table after its answer was lost and
// the row could not be read: the request could never run again.
func TestUnreadableClaimIsVoidedInBackground(t *testing.T) {
	table := newScriptedTable()
	claims, _ := newClaims(t, table, nil)
	table.puts = []putStep{table.applyAndLoseAnswer, refuseWrite, table.applyAndLoseAnswer}
	table.gets = []error{lagoonbarrow.ErrUnavailable, lagoonbarrow.ErrUnavailable, lagoonbarrow.ErrUnavailable}
	_, err := claims.Acquire(context.Background(), newCall("a", 0), futureDeadline())
	wantError(t, "acquire", err, lagoonbarrow.ErrUnavailable)
	if found := waitForState(t, claims, lagoonbarrow.ClaimVoided); found.Version != 2 {
		t.Errorf("voided at version %d, want 2", found.Version)
	}
	_, err = claims.Acquire(context.Background(), newCall("a", 2), futureDeadline())
	wantError(t, "duplicate after not-run", err, lagoonbarrow.ErrClaimed)
	if _, err = claims.Acquire(context.Background(), newCall("b", 2), futureDeadline()); err != nil {
		t.Error(err)
	}
}

// Guards against the outcome "not run" when the row exists but can't be read: it
// may show that the request ran.
func TestConflictWithUnreadableRowIsUnknown(t *testing.T) {
	table := newScriptedTable()
	claims, _ := newClaims(t, table, nil)
	if _, err := claims.Acquire(context.Background(), newCall("a", 0), futureDeadline()); err != nil {
		t.Fatal(err)
	}
	table.gets = []error{lagoonbarrow.ErrUnavailable, lagoonbarrow.ErrUnavailable, lagoonbarrow.ErrUnavailable}
	found, err := claims.Acquire(context.Background(), newCall("b", 0), futureDeadline())
	wantError(t, "acquire", err, lagoonbarrow.ErrClaimed)
	if found.Version != 0 || found.Answer != nil {
		t.Errorf("unexpected row %v", found)
	}
}

// Guards against an unknown outcome although the void took effect, and against
// mistaking an earlier attempt's void for the current attempt's.
func TestVoidAttemptResolvesItsLostAnswer(t *testing.T) {
	table := newScriptedTable()
	claims, _ := newClaims(t, table, nil)
	ctx := context.Background()
	table.puts = []putStep{table.applyAndLoseAnswer}
	first, err := claims.VoidAttempt(ctx, newCall("a", 0))
	if err != nil || first.Version != 1 {
		t.Fatalf("void: %v %v", first, err)
	}
	step, deliver := table.delayed()
	table.puts = []putStep{step}
	second, err := claims.VoidAttempt(ctx, newCall("b", 1))
	if err != nil || second.Version != 2 {
		t.Fatalf("void: %v %v", second, err)
	}
	wantError(t, "late void", deliver(), lagoonbarrow.ErrConflict)
}

// Guards against the outcome "not run" when the table is down during the void.
func TestVoidAttemptWithoutTableIsUnknown(t *testing.T) {
	table := newScriptedTable()
	claims, _ := newClaims(t, table, nil)
	for range maxVoidTries {
		table.puts = append(table.puts, refuseWrite)
	}
	_, err := claims.VoidAttempt(context.Background(), newCall("a", 0))
	wantError(t, "void", err, lagoonbarrow.ErrOutcomeUnknown)
}

// Guards against a repeated request that gets a different answer than the first
// caller, or the answer to a request with different content.
func TestRepeatReceivesStoredAnswer(t *testing.T) {
	table := newScriptedTable()
	claims, _ := newClaims(t, table, func(config *Config) {
		config.AnswerBytes = 20
	})
	ctx := context.Background()
	claim, err := claims.Acquire(ctx, newCall("a", 0), futureDeadline())
	if err != nil {
		t.Fatal(err)
	}
	wantError(t, "unknown outcome", claims.Complete(ctx, claim, &lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeUnknown,
	}), lagoonbarrow.ErrInvalid)
	if err := claims.Complete(ctx, claim, doneAnswer(201, "paid")); err != nil {
		t.Fatal(err)
	}
	found, err := claims.Acquire(ctx, newCall("b", 0), futureDeadline())
	wantError(t, "repeat", err, lagoonbarrow.ErrClaimed)
	want := doneAnswer(201, "paid")
	if fmt.Sprint(found.Answer) != fmt.Sprint(want) {
		t.Errorf("answer %v, want %v", found.Answer, want)
	}
	other := newCall("c", 0)
	other.Body = []byte("43")
	found, err = claims.Acquire(ctx, other, futureDeadline())
	wantError(t, "other content", err, lagoonbarrow.ErrKeyMismatch)
	if found.Answer != nil {
		t.Error("the answer to another request was returned")
	}
	_, err = claims.VoidAttempt(ctx, other)
	wantError(t, "void of other content", err, lagoonbarrow.ErrKeyMismatch)
}

// Guards against returning part of a large answer as if it were complete.
func TestLargeAnswerKeepsStatusAndMarker(t *testing.T) {
	stored := newStoredAnswer(doneAnswer(201, strings.Repeat("x", 100)), 50).restore()
	if stored.Status != 201 || len(stored.Body) != 0 {
		t.Errorf("stored %v", stored)
	}
	if len(stored.Header) != 1 || stored.Header[0].Name != HeaderAnswer || stored.Header[0].Value != AnswerTooLarge {
		t.Errorf("header %v", stored.Header)
	}
}

// Guards against settling a claim that its holder may still run, and against
// losing the answer of a run that an operator settled as not run.
func TestSettle(t *testing.T) {
	table := newScriptedTable()
	now, advance := newClock()
	claims, _ := newClaims(t, table, func(config *Config) { config.Now = now })
	ctx := context.Background()
	claim, err := claims.Acquire(ctx, newCall("a", 0), now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	_, err = claims.Settle(ctx, claim.Customer, claim.Key, claim.Version, false)
	wantError(t, "before the deadline", err, lagoonbarrow.ErrClaimed)
	advance(time.Second + defaultSettleMargin)
	_, err = claims.Settle(ctx, claim.Customer, claim.Key, claim.Version+1, false)
	wantError(t, "other version", err, lagoonbarrow.ErrConflict)
	table.puts = []putStep{table.applyAndLoseAnswer}
	settled, err := claims.Settle(ctx, claim.Customer, claim.Key, claim.Version, false)
	if err != nil || settled.State != lagoonbarrow.ClaimVoided {
		t.Fatalf("settle: %v %v", settled, err)
	}
	_, err = claims.Settle(ctx, claim.Customer, claim.Key, settled.Version, true)
	wantError(t, "settled already", err, lagoonbarrow.ErrConflict)
	if err := claims.Complete(ctx, claim, doneAnswer(201, "paid")); err == nil {
		t.Error("the completion should report that it continues in the background")
	}
	if found := waitForState(t, claims, lagoonbarrow.ClaimCompleted); found.Answer.Status != 201 {
		t.Errorf("answer %v", found.Answer)
	}
	_, err = claims.Settle(ctx, claim.Customer, "no-such-key", 1, true)
	wantError(t, "no row", err, lagoonbarrow.ErrNotFound)
}

// Guards against another attempt on a row that an operator settled as run, because
// its holder's void reported success.
func TestVoidAfterSettledAsRun(t *testing.T) {
	table := newScriptedTable()
	now, advance := newClock()
	claims, _ := newClaims(t, table, func(config *Config) { config.Now = now })
	ctx := context.Background()
	claim, err := claims.Acquire(ctx, newCall("a", 0), now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	advance(time.Minute)
	if _, err := claims.Settle(ctx, claim.Customer, claim.Key, claim.Version, true); err != nil {
		t.Fatal(err)
	}
	wantError(t, "void", claims.Void(ctx, claim), lagoonbarrow.ErrConflict)
	found := waitForState(t, claims, lagoonbarrow.ClaimCompleted)
	if len(found.Answer.Header) != 1 || found.Answer.Header[0].Value != AnswerSettled {
		t.Errorf("answer %v", found.Answer)
	}
}

// Guards against background writes that are dropped without an event, and
// against an unbounded queue.
func TestFullQueueAndStopAreReported(t *testing.T) {
	table := newScriptedTable()
	claims, events := newClaims(t, table, func(config *Config) {
		config.QueueLength = 1
		config.StopTimeout = time.Millisecond
	})
	ctx := context.Background()
	for range 10000 {
		table.puts = append(table.puts, refuseWrite)
	}
	claim := lagoonbarrow.Claim{
		Customer: "tambo-claro",
		Key:      "payment-7",
		State:    lagoonbarrow.ClaimHeld,
		Attempt:  "first",
		Version:  1,
	}
	wantError(t, "first", claims.Void(ctx, claim), lagoonbarrow.ErrUnavailable)
	claim.Attempt = "second"
	wantError(t, "second", claims.Void(ctx, claim), lagoonbarrow.ErrUnavailable)
	if !events.contains("second not voided: the background queue is full") {
		t.Error("no event for the full queue")
	}
	_ = claims.Stop()
	if !events.contains("first not voided: the process stopped") {
		t.Error("no event for the abandoned write")
	}
}

// Guards against a queue of large answers that exhausts the node's memory, and
// against a completion that is lost because its answer does not fit.
func TestQueuedAnswersAreBounded(t *testing.T) {
	claims := New(Config{
		QueueBytes: 30,
	})
	for range 3 {
		claims.background.add(claims.completeJob(lagoonbarrow.Claim{}, doneAnswer(201, "paid in full")))
	}
	markers := ""
	for _, item := range claims.background.queue {
		markers += "|" + item.job.row.Answer.Marker
	}
	if claims.background.bytes > 30 || markers != "||"+AnswerTooLarge+"|"+AnswerTooLarge {
		t.Errorf("%d bytes are queued, markers %s", claims.background.bytes, markers)
	}
}

// Guards against different requests with one digest, and different keys with one row.
func TestDigestsAndRowKeysAreDistinct(t *testing.T) {
	first := newCall("a", 0)
	first.Path = "/payments/4"
	first.Body = []byte("2")
	second := newCall("a", 0)
	second.Path = "/payments/"
	second.Body = []byte("42")
	if Digest(first) == Digest(second) {
		t.Error("requests with different content have the same digest")
	}
	if rowKey("a/b", "c") == rowKey("a", "b/c") || rowKey("a", "\xff") == rowKey("a", "\ufffd") {
		t.Error("two keys share a row")
	}
}

// Guards against a row value that makes the decoder panic or return an error
// other than ErrInvalid, and one that changes when it is encoded again.
func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"state":"claimed","attempt":"a","write-id":"w","deadline":"2026-12-04T06:00:00Z"}`))
	f.Add([]byte(`{"state":"completed","attempt":"a","write-id":"w","answer":{"status":201,"header":[{"name":"n","value":"dg=="}],"body":"eA=="}}`))
	f.Add([]byte(`{"state":"voided"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		first, err := decodeRow(value)
		if err != nil {
			wantError(t, "decode", err, lagoonbarrow.ErrInvalid)
			return
		}
		again, err := encodeRow(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeRow(again)
		if err != nil {
			t.Fatalf("%s became %s: %v", value, again, err)
		}
		if last, err := encodeRow(second); err != nil || string(last) != string(again) {
			t.Fatalf("%s changed to %s: %v", again, last, err)
		}
	})
}
