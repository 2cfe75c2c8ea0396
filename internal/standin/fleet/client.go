package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lagoonbarrow"
)

// memberTime is added to StartTimeout for each node of a large fleet.
const memberTime = 500 * time.Millisecond

// Response is what a caller heard.
type Response struct {
	Status  int
	Body    []byte
	Outcome string
	Reason  string
	Request string
	ETag    string
	// Err is set when no whole response arrived.
	Err error
}

// Call is one request of a caller.
type Call struct {
	Method string
	Path   string
	Key    string
	// RequestKey is the Lagoonbarrow-Request-Key header.
	RequestKey string
	Body       string
	APIKey     string
}

// Do sends a customer's request to the node's entry listener.
func (n *Node) Do(ctx context.Context, c Call) Response {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+string(n.Entry)+c.Path, bytes.NewBufferString(c.Body))
	if err != nil {
		return Response{
			Err: err,
		}
	}
	token := c.APIKey
	if token == "" {
		token = APIKey
	}
	request.Header.Set("Authorization", "Bearer "+token)
	if c.Key != "" {
		request.Header.Set(lagoonbarrow.HeaderIdempotencyKey, c.Key)
	}
	if c.RequestKey != "" {
		request.Header.Set(lagoonbarrow.HeaderRequestKey, c.RequestKey)
	}
	return n.fleet.roundTrip(request)
}

func (f *Fleet) roundTrip(request *http.Request) Response {
	answer, err := f.http.Do(request)
	if err != nil {
		return Response{
			Err: err,
		}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return Response{
		Status:  answer.StatusCode,
		Body:    body,
		Outcome: answer.Header.Get(lagoonbarrow.HeaderOutcome),
		Reason:  answer.Header.Get(lagoonbarrow.HeaderReason),
		Request: answer.Header.Get(lagoonbarrow.HeaderRequest),
		ETag:    answer.Header.Get("ETag"),
		Err:     err,
	}
}

// Administer sends a request to the node's administration API.
func (n *Node) Administer(method, path string, body any, header http.Header) Response {
	text, err := json.Marshal(body)
	if err != nil {
		return Response{
			Err: err,
		}
	}
	request, err := http.NewRequest(method, "http://"+string(n.Admin)+path, bytes.NewReader(text))
	if err != nil {
		return Response{
			Err: err,
		}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+changeToken)
	return n.fleet.roundTrip(request)
}

// PutContract changes a contract; version 0 creates it.
func (n *Node) PutContract(contract lagoonbarrow.Contract, version lagoonbarrow.ContractVersion) Response {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(version), 10)))
	}
	return n.Administer(http.MethodPut, "/v1/contracts/"+string(contract.Customer), contract, header)
}

// Await retries a condition until it holds, and fails the test after the limit.
func (f *Fleet) Await(what string, limit time.Duration, condition func() bool) {
	f.TB.Helper()
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			f.TB.Fatalf("%s: not so after %s\n%s", what, limit, f.Logs())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Logs returns the last log lines of every node.
func (f *Fleet) Logs() string {
	const tail = 600
	text := ""
	for _, node := range f.Nodes {
		log := node.log.String()
		text += fmt.Sprintf("== %s\n%s\n", node.Name, log[max(0, len(log)-tail):])
	}
	return text
}

// AwaitMembers waits until every node is ready and lists so many ready instances.
func (f *Fleet) AwaitMembers(count int) {
	f.TB.Helper()
	for _, node := range f.Nodes {
		f.Await(node.Name+" knows all members", StartTimeout+time.Duration(count)*memberTime, func() bool {
			return node.Ready() && node.ReadyMembers() == count
		})
	}
}

// ReadyMembers counts the ready instances that the node knows.
func (n *Node) ReadyMembers() int {
	answer := n.Administer(http.MethodGet, "/v1/members", nil, nil)
	var members []struct {
		State string `json:"state"`
	}
	if answer.Err != nil || json.Unmarshal(answer.Body, &members) != nil {
		return 0
	}
	count := 0
	for _, member := range members {
		if member.State == "ready" {
			count++
		}
	}
	return count
}

// Apply puts a new contract in force on all nodes.
func (f *Fleet) Apply(contract lagoonbarrow.Contract) lagoonbarrow.ContractRecord {
	f.TB.Helper()
	answer := f.Nodes[0].PutContract(contract, 0)
	if answer.Err != nil || answer.Status != http.StatusCreated {
		f.TB.Fatalf("contract not accepted: %v %d %s", answer.Err, answer.Status, answer.Body)
	}
	var record lagoonbarrow.ContractRecord
	if err := json.Unmarshal(answer.Body, &record); err != nil {
		f.TB.Fatal(err)
	}
	for _, node := range f.Nodes {
		f.Await(node.Name+" has the contract in force", StartTimeout, func() bool {
			return node.InForce(contract.Customer).Version >= record.Version
		})
	}
	return record
}

// InForce returns the record that the node works by; version 0 without one.
func (n *Node) InForce(customer lagoonbarrow.CustomerID) lagoonbarrow.ContractRecord {
	answer := n.Administer(http.MethodGet, "/v1/contracts/"+string(customer)+"?in-force=true", nil, nil)
	var record lagoonbarrow.ContractRecord
	if answer.Err != nil || answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &record) != nil {
		return lagoonbarrow.ContractRecord{}
	}
	return record
}
