package history

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

// response is what a caller heard.
type response struct {
	status  int
	body    []byte
	outcome string
	reason  string
	request string
	etag    string
	// err is set when no whole response arrived.
	err error
}

// call is one request of a caller.
type call struct {
	method string
	path   string
	key    string
	// requestKey is the Lagoonbarrow-Request-Key header.
	requestKey string
	body       string
	apiKey     string
}

func (n *nodeProcess) do(ctx context.Context, c call) response {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+string(n.entry)+c.path, bytes.NewBufferString(c.body))
	if err != nil {
		return response{
			err: err,
		}
	}
	token := c.apiKey
	if token == "" {
		token = apiKey
	}
	request.Header.Set("Authorization", "Bearer "+token)
	if c.key != "" {
		request.Header.Set(lagoonbarrow.HeaderIdempotencyKey, c.key)
	}
	if c.requestKey != "" {
		request.Header.Set(lagoonbarrow.HeaderRequestKey, c.requestKey)
	}
	return n.fleet.roundTrip(request)
}

func (f *fleet) roundTrip(request *http.Request) response {
	answer, err := f.http.Do(request)
	if err != nil {
		return response{
			err: err,
		}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return response{
		status:  answer.StatusCode,
		body:    body,
		outcome: answer.Header.Get(lagoonbarrow.HeaderOutcome),
		reason:  answer.Header.Get(lagoonbarrow.HeaderReason),
		request: answer.Header.Get(lagoonbarrow.HeaderRequest),
		etag:    answer.Header.Get("ETag"),
		err:     err,
	}
}

// administer sends a request to the node's administration API.
func (n *nodeProcess) administer(method, path string, body any, header http.Header) response {
	text, err := json.Marshal(body)
	if err != nil {
		return response{
			err: err,
		}
	}
	request, err := http.NewRequest(method, "http://"+string(n.admin)+path, bytes.NewReader(text))
	if err != nil {
		return response{
			err: err,
		}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+changeToken)
	return n.fleet.roundTrip(request)
}

// putContract changes a contract; version 0 creates it.
func (n *nodeProcess) putContract(contract lagoonbarrow.Contract, version lagoonbarrow.ContractVersion) response {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(version), 10)))
	}
	return n.administer(http.MethodPut, "/v1/contracts/"+string(contract.Customer), contract, header)
}

// await retries a condition until it holds, and fails the test after the limit.
func (f *fleet) await(what string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not so after %s\n%s", what, limit, f.logs())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// logs returns the last log lines of every node.
func (f *fleet) logs() string {
	const tail = 600
	text := ""
	for _, node := range f.nodes {
		log := node.log.String()
		text += fmt.Sprintf("== %s\n%s\n", node.name, log[max(0, len(log)-tail):])
	}
	return text
}

// awaitMembers waits until every node is ready and lists so many ready instances.
func (f *fleet) awaitMembers(count int) {
	f.t.Helper()
	for _, node := range f.nodes {
		f.await(node.name+" knows all members", startTimeout, func() bool {
			return node.ready() && node.readyMembers() == count
		})
	}
}

func (n *nodeProcess) readyMembers() int {
	answer := n.administer(http.MethodGet, "/v1/members", nil, nil)
	var members []struct {
		State string `json:"state"`
	}
	if answer.err != nil || json.Unmarshal(answer.body, &members) != nil {
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

// apply puts a new contract in force on all nodes.
func (f *fleet) apply(contract lagoonbarrow.Contract) lagoonbarrow.ContractRecord {
	f.t.Helper()
	answer := f.nodes[0].putContract(contract, 0)
	if answer.err != nil || answer.status != http.StatusCreated {
		f.t.Fatalf("contract not accepted: %v %d %s", answer.err, answer.status, answer.body)
	}
	var record lagoonbarrow.ContractRecord
	if err := json.Unmarshal(answer.body, &record); err != nil {
		f.t.Fatal(err)
	}
	for _, node := range f.nodes {
		f.await(node.name+" has the contract in force", startTimeout, func() bool {
			return node.inForce(contract.Customer).Version >= record.Version
		})
	}
	return record
}

// inForce returns the record that the node works by; version 0 without one.
func (n *nodeProcess) inForce(customer lagoonbarrow.CustomerID) lagoonbarrow.ContractRecord {
	answer := n.administer(http.MethodGet, "/v1/contracts/"+string(customer)+"?in-force=true", nil, nil)
	var record lagoonbarrow.ContractRecord
	if answer.err != nil || answer.status != http.StatusOK || json.Unmarshal(answer.body, &record) != nil {
		return lagoonbarrow.ContractRecord{}
	}
	return record
}
