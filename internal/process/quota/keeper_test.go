package quota

import (
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

const (
	keptCustomer = lagoonbarrow.CustomerID("large")
	voter        = lagoonbarrow.InstanceID("node-1")
)

// keeperFixture is a keeper whose members are two nodes, one of which has given its vote.
type keeperFixture struct {
	keeper   *keeper
	now      moment
	sequence uint64
}

func newKeeperFixture() *keeperFixture {
	f := &keeperFixture{
		keeper: newKeeper(7),
	}
	f.keeper.setMembers(f.now, map[lagoonbarrow.InstanceID]bool{
		"node-0": true,
		voter:    true,
	})
	f.keeper.configure(f.now, simLimits(1))
	return f
}

func (f *keeperFixture) pass(duration time.Duration) {
	f.now = f.now.after(duration, duration)
}

// message returns the next message of the voter, with its vote.
func (f *keeperFixture) message(entry requestEntry) *tokenRequest {
	f.sequence++
	entry.Customer = keptCustomer
	return &tokenRequest{
		Process:       1,
		Group:         groupOf(keptCustomer),
		Sequence:      f.sequence,
		KeeperProcess: 7,
		Echo:          f.now.fast,
		Vote:          true,
		Size:          2,
		Entries:       []requestEntry{entry},
	}
}

func (f *keeperFixture) handle(message *tokenRequest) *tokenReply {
	return f.keeper.handle(f.now, voter, message)
}

func (f *keeperFixture) tokens() float64 {
	group := &f.keeper.groups[groupOf(keptCustomer)]
	group.accounts[keptCustomer].settle(group.filled, group.share)
	return group.accounts[keptCustomer].tokens
}

// Guards against tokens that are returned twice by a doubled message, and against a return
// that arrives so late that its tokens belong to another window.
func TestTokensAreReturnedOnceAndInTime(t *testing.T) {
	f := newKeeperFixture()
	f.handle(f.message(requestEntry{}))
	f.pass(100 * time.Millisecond)
	f.handle(f.message(requestEntry{
		Waiting: 15,
	}))
	before := f.tokens()
	returned := f.message(requestEntry{
		Returned: 5,
	})
	f.handle(returned)
	f.handle(returned)
	if after := f.tokens(); math.Abs(after-before-5) > 1e-6 {
		t.Errorf("5 tokens were returned, and the bucket holds %.1f more", after-before)
	}
	late := f.message(requestEntry{
		Returned: 5,
	})
	f.now.fast += maxReturnAge
	before = f.tokens()
	f.handle(late)
	if after := f.tokens(); after > before {
		t.Errorf("late tokens raised the bucket from %.1f to %.1f", before, after)
	}
}

// Guards against a vote that counts again after its release, by a late message, and against
// one that counts when it repeats the time of an earlier process.
func TestReleasedVotesDoNotCount(t *testing.T) {
	f := newKeeperFixture()
	late := f.message(requestEntry{})
	if reply := f.handle(f.message(requestEntry{})); !reply.Voted || reply.Share != 0.5 {
		t.Fatalf("voted %t, share %g", reply.Voted, reply.Share)
	}
	release := f.message(requestEntry{})
	release.Vote = false
	release.Release = true
	if reply := f.handle(release); reply.Voted || reply.Share != 0 {
		t.Errorf("after the release: voted %t, share %g", reply.Voted, reply.Share)
	}
	f.handle(late)
	other := f.message(requestEntry{})
	other.KeeperProcess = 6
	if reply := f.handle(other); reply.Voted {
		t.Error("a vote for another process counts")
	}
	if f.keeper.votesHeld() != 0 || f.tokens() != 0 {
		t.Errorf("%d votes, %.1f tokens", f.keeper.votesHeld(), f.tokens())
	}
}

// Guards against a restarted process that gives its vote while the one of the process before
// may count, against two keepers that count it, and against a vote that a released, stopped
// or replaced keeper holds back.
func TestVotesAreGivenToOneKeeper(t *testing.T) {
	first := lagoonbarrow.Instance{
		ID: "node-0",
	}
	second := lagoonbarrow.Instance{
		ID: "node-2",
	}
	now := moment{}
	b := newBallot(now)
	ask := func(keeper lagoonbarrow.Instance, process processID, stopped bool) bool {
		b.asked = keeper
		message := &tokenRequest{}
		b.address(now, keeper, message, voteLife)
		b.receive(now, keeper.ID, &tokenReply{
			Process: process,
			Stopped: stopped,
		})
		return message.Vote
	}
	ask(first, 1, false)
	if ask(first, 1, false) || b.blockedFor(now) != voteLife {
		t.Errorf("a new process votes, or retries after %s", b.blockedFor(now))
	}
	now = now.after(voteLife, voteLife)
	ask(first, 1, false)
	if !ask(first, 1, false) {
		t.Error("the vote is not given")
	}
	ask(second, 2, false)
	if ask(second, 2, false) {
		t.Error("two keepers have the vote")
	}
	b.released(first.ID)
	if !ask(second, 2, false) {
		t.Error("a released vote is not given")
	}
	ask(second, 3, false)
	if !ask(second, 3, false) {
		t.Error("the vote of a replaced process is not given")
	}
	ask(second, 3, true)
	ask(first, 1, false)
	if !ask(first, 1, false) {
		t.Error("the vote of a stopped keeper is not given")
	}
}

// Guards against a refused connection that is taken as proof that a keeper counts no vote of this
// process, or of an earlier one of the node: the network may refuse connections to one that lives.
func TestRefusedConnectionsFreeNoVotes(t *testing.T) {
	now := moment{}
	n := newTokenNode(now, 1)
	keeper := lagoonbarrow.Instance{
		ID:    "node-0",
		State: lagoonbarrow.StateReady,
	}
	n.setMembers([]lagoonbarrow.Instance{keeper})
	refused := outgoing{
		to: keeper,
	}
	held := &n.groups[0].ballot
	n.fail(now, refused, failureRefused)
	if !held.inherits(now) {
		t.Error("the vote of an earlier process is free")
	}
	now = now.after(voteLife, voteLife)
	held.given = heldVote{
		instance: keeper,
		process:  7,
		until:    now.slow + voteLife,
	}
	n.fail(now, refused, failureRefused)
	if held.free(now, "node-2") {
		t.Error("the vote of this process is free")
	}
	if now = now.after(voteLife, voteLife); !held.free(now, "node-2") {
		t.Error("the vote is held after its life")
	}
}

// Guards against a bucket that is filled by a step of the wall clock, against one that is
// filled for the time in which a keeper was suspended, and against votes that outlast that.
func TestClockStepsGrantNothing(t *testing.T) {
	f := newKeeperFixture()
	f.handle(f.message(requestEntry{}))
	f.handle(f.message(requestEntry{
		Waiting: 1000,
	}))
	f.now = f.now.after(time.Millisecond, time.Second)
	if reply := f.handle(f.message(requestEntry{})); reply.Share != 0.5 {
		t.Fatalf("share %g", reply.Share)
	}
	if tokens := f.tokens(); tokens > 1 {
		t.Errorf("a step of the wall clock by 1 s granted %.1f tokens", tokens)
	}
	f.now = f.now.after(0, 10*time.Second)
	f.keeper.advance(f.now)
	if votes := f.keeper.votesHeld(); votes != 0 || f.tokens() != 0 {
		t.Errorf("after a suspension: %d votes, %.1f tokens", votes, f.tokens())
	}
}

// Guards against tokens of a higher limit that remain after the limit was lowered.
func TestLowerLimitAppliesToTheBucket(t *testing.T) {
	f := newKeeperFixture()
	for range 10 {
		f.handle(f.message(requestEntry{}))
		f.pass(time.Second)
	}
	before := f.tokens()
	f.keeper.configure(f.now, simLimits(0.1))
	if after := f.tokens(); after > before/2 {
		t.Errorf("the bucket holds %.1f tokens, and held %.1f", after, before)
	}
}

// Guards against messages of other nodes that make a process panic, allocate memory for an
// entry count that they only state, or put numbers outside their bounds into an account.
func FuzzTokenMessages(f *testing.F) {
	request, err := frame.EncodeMessage(KindCustomerTokens, newKeeperFixture().message(requestEntry{
		Waiting: 3,
	}))
	if err != nil {
		f.Fatal(err)
	}
	reply, err := frame.EncodeMessage(KindCustomerTokens, &tokenReply{
		Process: 1,
		Share:   1,
		Entries: []replyEntry{
			{
				Customer: keptCustomer,
				Granted:  3,
			},
		},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request.Body)
	f.Add(reply.Body)
	// An array of 4 billion entries.
	f.Add(append(request.Body[:len(request.Body)-8:len(request.Body)-8], 0xdd, 0xff, 0xff, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, body []byte) {
		message := lagoonbarrow.Message{
			Kind: KindCustomerTokens,
			Body: body,
		}
		if decoded, err := decodeTokenReply(message); err != nil {
			checkDecodeError(t, err)
		} else if len(decoded.Entries) > maxEntries {
			t.Errorf("%d entries", len(decoded.Entries))
		}
		decoded, err := decodeTokenRequest(message)
		if err != nil {
			checkDecodeError(t, err)
			return
		}
		fixture := newKeeperFixture()
		fixture.pass(time.Second)
		if reply := fixture.handle(decoded); len(reply.Entries) > maxEntries {
			t.Errorf("%d entries", len(reply.Entries))
		}
		if tokens := fixture.tokens(); math.IsNaN(tokens) || tokens < 0 || tokens > 100 {
			t.Errorf("%g tokens", tokens)
		}
	})
}

func checkDecodeError(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, lagoonbarrow.ErrInvalid) {
		t.Errorf("the error %v is not ErrInvalid", err)
	}
}

// BenchmarkTokenMessages measures the processor time of a message and its reply at the keeper
// and the node together, without the connection, and their sizes.
func BenchmarkTokenMessages(b *testing.B) {
	tests := []struct {
		name  string
		entry *requestEntry
	}{
		{
			name: "refresh",
		},
		{
			name: "one customer",
			entry: &requestEntry{
				Waiting: 1,
				Arrived: 1,
			},
		},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			f := newKeeperFixture()
			bytes := 0
			for b.Loop() {
				f.pass(time.Millisecond)
				sent := f.message(requestEntry{})
				sent.Process = math.MaxUint64 / 3
				sent.Echo = 24 * time.Hour
				sent.Entries = nil
				if test.entry != nil {
					sent.Entries = []requestEntry{*test.entry}
					sent.Entries[0].Customer = keptCustomer
				}
				message, err := frame.EncodeMessage(KindCustomerTokens, sent)
				if err != nil {
					b.Fatal(err)
				}
				received, err := decodeTokenRequest(message)
				if err != nil {
					b.Fatal(err)
				}
				reply, err := frame.EncodeMessage(KindCustomerTokens, f.handle(received))
				if err != nil {
					b.Fatal(err)
				}
				if _, err := decodeTokenReply(reply); err != nil {
					b.Fatal(err)
				}
				bytes = len(message.Body) + len(reply.Body)
			}
			b.ReportMetric(float64(bytes), "body-bytes")
		})
	}
}

// Guards against requests that are refused at once, as in a lasting partition, when a keeper
// has just begun: its first reply, to a message without waiting requests, names no wait.
func TestRequestsWaitForNewKeepers(t *testing.T) {
	replies := []struct {
		at        time.Duration
		wait      time.Duration
		uncertain bool
		refuses   bool
	}{
		{
			at:        time.Second,
			wait:      maxHold,
			uncertain: true,
		},
		{
			at: 2 * time.Second,
		},
		{
			at:        10 * time.Second,
			uncertain: true,
		},
		{
			at:        10*time.Second + 100*time.Millisecond,
			wait:      maxHold,
			uncertain: true,
		},
		{
			at:        10*time.Second + uncertainPatience,
			wait:      maxHold,
			uncertain: true,
			refuses:   true,
		},
	}
	held := balance{
		waiting: []*waiter{
			{},
		},
	}
	for _, reply := range replies {
		refused := held.apply(reply.at, &replyEntry{
			Wait: reply.wait,
		}, standing{
			repliedAt: reply.at,
			uncertain: reply.uncertain,
		})
		if refuses := len(refused) > 0; refuses != reply.refuses {
			t.Errorf("after %s: refuses %t, want %t", reply.at, refuses, reply.refuses)
		}
	}
}

// Guards against a vote that a node takes for free while the keeper counts it, and against one
// that is held back for voteLife although customers wait for another keeper.
func TestVotesAreFreeWhenTheyCountNoMore(t *testing.T) {
	tests := []struct {
		name string
		// lives are those of the votes given, one after the other.
		lives []time.Duration
		// age is the time since the keeper's process started.
		age time.Duration
		// free is when the vote is free, after the reply that it echoes.
		free time.Duration
	}{
		{
			name:  "no demand",
			lives: []time.Duration{voteLife},
			age:   time.Minute,
			free:  voteLife,
		},
		{
			name:  "demand",
			lives: []time.Duration{busyVoteLife},
			age:   time.Minute,
			free:  busyVoteLife,
		},
		{
			name:  "demand after none",
			lives: []time.Duration{voteLife, busyVoteLife},
			age:   time.Minute,
			free:  voteLife,
		},
		{
			name:  "demand at a keeper that has just started",
			lives: []time.Duration{busyVoteLife},
			age:   100 * time.Millisecond,
			free:  voteLife - 100*time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newKeeperFixture()
			f.pass(test.age)
			b := ballot{}
			b.asked.ID = "node-0"
			b.receive(f.now, b.asked.ID, f.keeper.handle(f.now, voter, &tokenRequest{}))
			replied := f.now.slow
			for _, life := range test.lives {
				message := f.message(requestEntry{})
				message.Vote = false
				b.address(f.now, b.asked, message, life)
				if reply := f.handle(message); !reply.Voted {
					t.Fatal("the vote doesn't count")
				}
			}
			for !b.free(f.now, "node-2") {
				f.pass(time.Millisecond)
			}
			f.keeper.advance(f.now)
			if f.keeper.votesHeld() != 0 {
				t.Error("a vote that is free counts")
			}
			if after := f.now.slow - replied; after != test.free {
				t.Errorf("the vote is free after %s, want %s", after, test.free)
			}
		})
	}
}
