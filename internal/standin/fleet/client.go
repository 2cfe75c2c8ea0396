package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lagoonbarrow"
)

// startTimePerNode extends StartTimeout in proportion to the size of the fleet.
const startTimePerNode = 500 * time.Millisecond

// Response is the answer that a client received.
type Response struct {
	Status  int
	Body    []byte
	Outcome string
	Reason  string
	Request string
	ETag    string
	// Err is set if no complete answer arrived.
	Err error
}

// Call is one request of a customer.
type Call struct {
	Method string
	Path   string
	// Key is the value of the Idempotency-Key header.
	Key string
	// RequestKey is the value of the Lagoonbarrow-Request-Key header.
	RequestKey string
	Body       string
	// APIKey authenticates the customer, the constant APIKey by default.
	APIKey string
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

// AdminRequest sends a request to the node's administration API.
func (n *Node) AdminRequest(method, path string, body any, header http.Header) Response {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Response{
			Err: err,
		}
	}
	request, err := http.NewRequest(method, "http://"+string(n.Admin)+path, bytes.NewReader(encoded))
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

// PutContract replaces the given version of a contract. Version 0 creates the
// contract.
func (n *Node) PutContract(contract lagoonbarrow.Contract, version lagoonbarrow.ContractVersion) Response {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(version), 10)))
	}
	return n.AdminRequest(http.MethodPut, "/v1/contracts/"+string(contract.Customer), contract, header)
}

// Await polls a condition until it is true, and fails the test after the limit.
func (f *Fleet) Await(description string, limit time.Duration, condition func() bool) {
	f.TB.Helper()
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			f.TB.Fatalf("%s: condition not met within %s\n%s", description, limit, f.Logs())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Logs returns the end of every node's log.
func (f *Fleet) Logs() string {
	const tailBytes = 600
	text := ""
	for _, node := range f.Nodes {
		log := node.log.String()
		text += fmt.Sprintf("== %s\n%s\n", node.Name, log[max(0, len(log)-tailBytes):])
	}
	return text
}

// Timeline returns the events that the nodes still hold of a request. They show which
// limit of which node refused it.
func (f *Fleet) Timeline(request string) string {
	text := ""
	for _, node := range f.Nodes {
		answer := node.AdminRequest(http.MethodGet, "/v1/events?request="+url.QueryEscape(request), nil, nil)
		text += fmt.Sprintf("== %s: %v %d\n%s\n", node.Name, answer.Err, answer.Status, answer.Body)
	}
	return text
}

// AwaitMembers waits until every node is ready and lists count ready instances.
func (f *Fleet) AwaitMembers(count int) {
	f.TB.Helper()
	for _, node := range f.Nodes {
		f.Await(node.Name+" lists all members", StartTimeout+time.Duration(count)*startTimePerNode, func() bool {
			return node.Ready() && node.ReadyMembers() == count
		})
	}
}

// ReadyMembers returns the number of ready instances in the node's member list.
func (n *Node) ReadyMembers() int {
	answer := n.AdminRequest(http.MethodGet, "/v1/members", nil, nil)
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

// ApplyContract creates a contract and waits until it is in force on all nodes.
func (f *Fleet) ApplyContract(contract lagoonbarrow.Contract) lagoonbarrow.ContractRecord {
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
			return node.ContractInForce(contract.Customer).Version >= record.Version
		})
	}
	return record
}

// ContractInForce returns the customer's contract record that is in force on the
// node, or a zero record if there is none.
func (n *Node) ContractInForce(customer lagoonbarrow.CustomerID) lagoonbarrow.ContractRecord {
	answer := n.AdminRequest(http.MethodGet, "/v1/contracts/"+string(customer)+"?in-force=true", nil, nil)
	var record lagoonbarrow.ContractRecord
	if answer.Err != nil || answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &record) != nil {
		return lagoonbarrow.ContractRecord{}
	}
	return record
}
