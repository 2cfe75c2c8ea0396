package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
	"lagoonbarrow/pkg/event"
)

const (
	readToken   = "reader"
	changeToken = "changer"
)

// fakeStore returns fixed results and stores the arguments of the last change.
type fakeStore struct {
	lagoonbarrow.ContractStore
	record   lagoonbarrow.ContractRecord
	err      error
	expected lagoonbarrow.ContractVersion
	applied  lagoonbarrow.Contract
}

func (s *fakeStore) Apply(_ context.Context, wanted lagoonbarrow.Contract, expected lagoonbarrow.ContractVersion) (lagoonbarrow.ContractRecord, error) {
	s.applied = wanted
	s.expected = expected
	return s.record, s.err
}

func (s *fakeStore) Retire(_ context.Context, _ lagoonbarrow.CustomerID, expected lagoonbarrow.ContractVersion) (lagoonbarrow.ContractRecord, error) {
	s.expected = expected
	return s.record, s.err
}

func (s *fakeStore) Get(context.Context, lagoonbarrow.CustomerID) (lagoonbarrow.ContractRecord, error) {
	return s.record, s.err
}

func (s *fakeStore) List(context.Context) ([]lagoonbarrow.ContractRecord, error) {
	return nil, s.err
}

// fakeClaims returns a fixed claim and stores the last settlement.
type fakeClaims struct {
	lagoonbarrow.Claims
	claim lagoonbarrow.Claim
	err   error
	ran   bool
}

func (c *fakeClaims) Lookup(_ context.Context, customer lagoonbarrow.CustomerID, key string) (lagoonbarrow.Claim, error) {
	claim := c.claim
	claim.Customer = customer
	claim.Key = key
	return claim, c.err
}

func (c *fakeClaims) Settle(_ context.Context, _ lagoonbarrow.CustomerID, _ string, _ lagoonbarrow.RowVersion, ran bool) (lagoonbarrow.Claim, error) {
	c.ran = ran
	return c.claim, c.err
}

// fakePeers is a roster and transport whose members answer with their revision. A
// member without a revision does not answer until the request is cancelled.
type fakePeers struct {
	lagoonbarrow.Roster
	lagoonbarrow.Transport
	revisions map[lagoonbarrow.Address]lagoonbarrow.Revision
	live      []lagoonbarrow.Instance
}

func (p *fakePeers) Self() lagoonbarrow.Instance { return p.live[0] }

func (p *fakePeers) Live() []lagoonbarrow.Instance { return p.live }

func (p *fakePeers) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	revision, answers := p.revisions[to]
	if !answers {
		<-ctx.Done()
		return lagoonbarrow.Message{}, ctx.Err()
	}
	registry := contract.NewRegistry(contract.RegistryConfig{})
	registry.Load(nil, revision)
	node := contract.NewDistributor(contract.Config{
		Registry: registry,
	})
	return node.HandleMessage(ctx, "", message)
}

type httpResponse struct {
	status int
	etag   string
	body   string
}

func startServer(t *testing.T, config Config) *Server {
	t.Helper()
	config.Address = "127.0.0.1:0"
	config.ReadToken = readToken
	config.ChangeToken = changeToken
	server := New(config)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	return server
}

func doRequest(t *testing.T, server *Server, method, path, token, body string, header ...string) httpResponse {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+string(server.Address())+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for index := 0; index+1 < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return httpResponse{
		status: response.StatusCode,
		etag:   response.Header.Get("ETag"),
		body:   string(text),
	}
}

// Guards against a resource that is accessible without a credential, and a change
// that is allowed with the read credential.
func TestCredentials(t *testing.T) {
	server := startServer(t, Config{
		Store:  &fakeStore{},
		Claims: &fakeClaims{},
	})
	disabled := New(Config{})
	if disabled.accessOf("Bearer ") != accessNone || disabled.accessOf("") != accessNone {
		t.Error("an empty credential is accepted")
	}
	cases := []struct {
		method string
		path   string
		token  string
		want   int
	}{
		{
			method: "GET",
			path:   "/healthz",
			want:   200,
		},
		{
			method: "GET",
			path:   "/readyz",
			want:   200,
		},
		{
			method: "GET",
			path:   "/v1/contracts",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/contracts",
			token:  "read",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/contracts",
			token:  readToken,
			want:   200,
		},
		{
			method: "GET",
			path:   "/v1/contracts",
			token:  changeToken,
			want:   200,
		},
		{
			method: "GET",
			path:   "/v1/status",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/members",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/events",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/contracts/a",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/contracts/a/rollout",
			want:   401,
		},
		{
			method: "GET",
			path:   "/v1/claims/a/k",
			want:   401,
		},
		{
			method: "PUT",
			path:   "/v1/contracts/a",
			token:  readToken,
			want:   403,
		},
		{
			method: "DELETE",
			path:   "/v1/contracts/a",
			token:  readToken,
			want:   403,
		},
		{
			method: "POST",
			path:   "/v1/claims/a/k",
			token:  readToken,
			want:   403,
		},
		{
			method: "POST",
			path:   "/v1/contracts/a",
			token:  changeToken,
			want:   405,
		},
		{
			method: "GET",
			path:   "/v1/other",
			token:  changeToken,
			want:   404,
		},
	}
	for _, test := range cases {
		if got := doRequest(t, server, test.method, test.path, test.token, ""); got.status != test.want {
			t.Errorf("%s %s with %q: got %d, want %d", test.method, test.path, test.token, got.status, test.want)
		}
	}
}

const contractText = `{"customer":"a","key-hashes":["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"],
"work-units-per-second":1,"burst-work-units":1,"classes":[{"name":"x","path-prefix":"/","importance":"normal","work-units":1}]}`

// Guards against an answer with the wrong outcome of a change.
func TestContractChanges(t *testing.T) {
	current := lagoonbarrow.ContractRecord{
		Customer: "a",
		Version:  7,
		Revision: 9,
	}
	cases := []struct {
		name   string
		method string
		body   string
		header []string
		err    error
		status int
		text   string
		etag   string
	}{
		{
			name:   "created",
			method: "PUT",
			body:   contractText,
			header: []string{"If-None-Match", "*"},
			status: 201,
			text:   `"version":7`,
			etag:   `"7"`,
		},
		{
			name:   "changed",
			method: "PUT",
			body:   contractText,
			header: []string{"If-Match", `"6"`},
			status: 200,
			text:   `"version":7`,
			etag:   `"7"`,
		},
		{
			name:   "retired",
			method: "DELETE",
			header: []string{"If-Match", `"6"`},
			status: 200,
			text:   `"version":7`,
			etag:   `"7"`,
		},
		{
			name:   "created concurrently",
			method: "PUT",
			body:   contractText,
			header: []string{"If-None-Match", "*"},
			err:    lagoonbarrow.ErrConflict,
			status: 409,
			text:   `"current":{"customer":"a"`,
			etag:   `"7"`,
		},
		{
			name:   "changed concurrently",
			method: "PUT",
			body:   contractText,
			header: []string{"If-Match", `"6"`},
			err:    lagoonbarrow.ErrConflict,
			status: 412,
			text:   `"current-version":7`,
			etag:   `"7"`,
		},
		{
			name:   "platform down",
			method: "PUT",
			body:   contractText,
			header: []string{"If-Match", `"6"`},
			err:    lagoonbarrow.ErrUnavailable,
			status: 503,
			text:   "unavailable",
		},
		{
			name:   "not settled",
			method: "PUT",
			body:   contractText,
			header: []string{"If-Match", `"6"`},
			err:    lagoonbarrow.ErrOutcomeUnknown,
			status: 504,
			text:   "outcome unknown",
		},
		{
			name:   "unknown customer",
			method: "DELETE",
			header: []string{"If-Match", `"6"`},
			err:    lagoonbarrow.ErrNotFound,
			status: 404,
			text:   "not found",
		},
		{
			name:   "no precondition",
			method: "PUT",
			body:   contractText,
			status: 428,
			text:   "If-Match",
		},
		{
			name:   "two preconditions",
			method: "PUT",
			body:   contractText,
			header: []string{"If-Match", `"6"`, "If-None-Match", "*"},
			status: 400,
			text:   "exclude",
		},
		{
			name:   "any version",
			method: "PUT",
			body:   contractText,
			header: []string{"If-Match", "*"},
			status: 400,
			text:   "malformed precondition",
		},
		{
			name:   "version 0",
			method: "DELETE",
			header: []string{"If-Match", `"0"`},
			status: 400,
			text:   "malformed precondition",
		},
		{
			name:   "delete without version",
			method: "DELETE",
			header: []string{"If-None-Match", "*"},
			status: 400,
			text:   "malformed precondition",
		},
		{
			name:   "other customer",
			method: "PUT",
			body:   strings.Replace(contractText, `"a"`, `"b"`, 1),
			header: []string{"If-None-Match", "*"},
			status: 400,
			text:   "differs",
		},
		{
			name:   "faults",
			method: "PUT",
			body:   `{"customer":"a/b"}`,
			header: []string{"If-None-Match", "*"},
			status: 400,
			text:   `"faults":["customer`,
		},
	}
	for _, test := range cases {
		store := &fakeStore{
			record: current,
			err:    test.err,
		}
		server := startServer(t, Config{
			Store: store,
		})
		got := doRequest(t, server, test.method, "/v1/contracts/a", changeToken, test.body, test.header...)
		if got.status != test.status || !strings.Contains(got.body, test.text) || got.etag != test.etag {
			t.Errorf("%s: got %d, ETag %s: %s", test.name, got.status, got.etag, got.body)
		}
		if test.name == "changed" && (store.expected != 6 || store.applied.Customer != "a") {
			t.Errorf("%s: the store got version %d of %q", test.name, store.expected, store.applied.Customer)
		}
	}
}

// Guards against a roll-out that is reported as complete while a node is behind, has
// not loaded the contracts, or does not answer.
func TestRollout(t *testing.T) {
	peers := &fakePeers{
		revisions: map[lagoonbarrow.Address]lagoonbarrow.Revision{
			"p1": 9,
			"p2": 8,
		},
	}
	for _, name := range []string{"self", "p1", "p2", "p3"} {
		peers.live = append(peers.live, lagoonbarrow.Instance{
			ID:   lagoonbarrow.InstanceID(name),
			Peer: lagoonbarrow.Address(name),
		})
	}
	registry := contract.NewRegistry(contract.RegistryConfig{})
	registry.Load(nil, 9)
	server := startServer(t, Config{
		Store: &fakeStore{
			record: lagoonbarrow.ContractRecord{
				Customer: "a",
				Version:  7,
				Revision: 9,
			},
		},
		Contracts:   registry,
		Roster:      peers,
		Transport:   peers,
		NodeTimeout: 50 * time.Millisecond,
	})
	var got Rollout
	if err := json.Unmarshal([]byte(doRequest(t, server, "GET", "/v1/contracts/a/rollout", readToken, "").body), &got); err != nil {
		t.Fatal(err)
	}
	if got.Live != 4 || got.InForce != 2 || got.Complete || got.BehindCount != 1 || got.NoAnswerCount != 1 {
		t.Fatalf("got %+v", got)
	}
	if got.Behind[0].Instance != "p2" || got.NoAnswer[0].Instance != "p3" {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a claim that is settled by accident or under another key, and
// against customer data in the answers to operators.
func TestClaims(t *testing.T) {
	claims := &fakeClaims{
		claim: lagoonbarrow.Claim{
			Version: 3,
			State:   lagoonbarrow.ClaimHeld,
			Answer: &lagoonbarrow.Answer{
				Status: 201,
				Body:   []byte("secret"),
			},
		},
	}
	server := startServer(t, Config{
		Claims: claims,
	})
	got := doRequest(t, server, "GET", "/v1/claims/a/order%2F1", readToken, "")
	if got.status != 200 || !strings.Contains(got.body, `"key":"order/1"`) || strings.Contains(got.body, "secret") {
		t.Errorf("got %d %s", got.status, got.body)
	}
	cases := []struct {
		body   string
		err    error
		status int
	}{
		{
			body:   `{"expected":3,"ran":true}`,
			status: 200,
		},
		{
			body:   `{"expected":3}`,
			status: 400,
		},
		{
			body:   `{"ran":true}`,
			status: 400,
		},
		{
			body:   `{"expected":3,"ran":true,"other":1}`,
			status: 400,
		},
		{
			body:   `{"expected":3,"ran":true}`,
			err:    lagoonbarrow.ErrClaimed,
			status: 409,
		},
		{
			body:   `{"expected":3,"ran":true}`,
			err:    lagoonbarrow.ErrConflict,
			status: 412,
		},
		{
			body:   `{"expected":3,"ran":true}`,
			err:    lagoonbarrow.ErrOutcomeUnknown,
			status: 504,
		},
	}
	for _, test := range cases {
		claims.err = test.err
		claims.ran = false
		got := doRequest(t, server, "POST", "/v1/claims/a/k", changeToken, test.body)
		if got.status != test.status || claims.ran != (test.status != 400) {
			t.Errorf("%s, %v: got %d %s", test.body, test.err, got.status, got.body)
		}
	}
}

// Guards against malformed filters that are ignored.
func TestEvents(t *testing.T) {
	var lastFilter EventFilter
	server := startServer(t, Config{
		Events: func(filter EventFilter) []event.Event {
			lastFilter = filter
			return make([]event.Event, 5)
		},
		Ready: func() error { return errors.New("the node is starting") },
	})
	got := doRequest(t, server, "GET", "/v1/events?request=r&customer=c&contract-version=4&since=2026-01-02T03:04:05Z&limit=2", readToken, "")
	if got.status != 200 || strings.Count(got.body, `"number"`) != 2 {
		t.Errorf("got %d %s", got.status, got.body)
	}
	want := EventFilter{
		Request:         "r",
		Customer:        "c",
		ContractVersion: 4,
		Since:           time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		Limit:           2,
	}
	if lastFilter != want {
		t.Errorf("got the filter %+v", lastFilter)
	}
	for _, query := range []string{"contract-version=x", "since=yesterday", "limit=-1"} {
		if got := doRequest(t, server, "GET", "/v1/events?"+query, readToken, ""); got.status != 400 {
			t.Errorf("%s: got %d", query, got.status)
		}
	}
	if got := doRequest(t, server, "GET", "/readyz", "", ""); got.status != 503 || !strings.Contains(got.body, "starting") {
		t.Errorf("readyz: got %d %s", got.status, got.body)
	}
}

// Guards against unlimited connections, headers or bodies, which could exhaust the
// node's memory.
func TestBounds(t *testing.T) {
	server := startServer(t, Config{
		MaxConnections: 2,
	})
	for number := range 3 {
		status := statusOfRaw(t, server, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
		if refused := status == "503"; refused != (number == 2) {
			t.Errorf("connection %d: got %s", number, status)
		}
	}
	unlimited := startServer(t, Config{})
	oversized := fmt.Sprintf("PUT /v1/contracts/a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", contract.MaxContractBytes+1)
	if status := statusOfRaw(t, unlimited, oversized); status != "413" {
		t.Errorf("oversized body: got %s", status)
	}
	header := "GET /healthz HTTP/1.1\r\nHost: a\r\nX-Long: "
	if status := statusOfRaw(t, unlimited, header+strings.Repeat("a", maxHeaderBytes-len(header))); status != "431" {
		t.Errorf("long header: got %s", status)
	}
}

// statusOfRaw sends text on a connection that stays open for the test, and returns the
// status. An HTTP client would fail at random when the server answers before it has
// read the whole request.
func statusOfRaw(t *testing.T, server *Server, text string) string {
	t.Helper()
	connection, err := net.Dial("tcp", string(server.Address()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_, _ = connection.Write([]byte(text))
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(connection, line); err != nil {
		t.Fatal(err)
	}
	return string(line[len("HTTP/1.1 "):])
}

// Guards against goroutines and listeners that outlive Stop.
func TestStop(t *testing.T) {
	// This goroutine of fasthttp's worker pool ends only after a sleep.
	workerPool := goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2")
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), workerPool)
	server := New(Config{
		Address: "127.0.0.1:0",
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	if got := doRequest(t, server, "GET", "/healthz", "", ""); got.status != 200 {
		t.Errorf("got %d", got.status)
	}
	if err := server.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a settlement that is decoded from an incomplete or malformed body.
func FuzzDecodeSettle(f *testing.F) {
	f.Add([]byte(`{"expected":3,"ran":true}`))
	f.Add([]byte(`{"expected":null,"ran":false}{}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		request, err := decodeSettle(text)
		if err == nil && (request.Expected == nil || request.Ran == nil) {
			t.Fatal("a field is missing")
		}
		if err != nil && !errors.Is(err, lagoonbarrow.ErrInvalid) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}
