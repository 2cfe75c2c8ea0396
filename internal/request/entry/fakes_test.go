package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/budget"
	"lagoonbarrow/pkg/event"
)

// fakeDependencies implements all dependencies of a customer listener. Its one
// contract has the classes orders (at most once) and browse.
type fakeDependencies struct {
	lagoonbarrow.Contracts
	lagoonbarrow.Table
	platformDown bool
	overQuota    bool
	// calls are the calls that reached the caller.
	calls  []*lagoonbarrow.Call
	answer lagoonbarrow.Answer
}

func (f *fakeDependencies) Ready() bool { return true }

func (f *fakeDependencies) ByKey(apiKey string) (lagoonbarrow.ContractRecord, error) {
	if apiKey != "key" {
		return lagoonbarrow.ContractRecord{}, lagoonbarrow.ErrUnauthenticated
	}
	return lagoonbarrow.ContractRecord{
		Customer: "residents",
	}, nil
}

func (f *fakeDependencies) Match(_ lagoonbarrow.ContractRecord, _, path string) (lagoonbarrow.Class, error) {
	class := lagoonbarrow.Class{
		Name:           "browse",
		ImportanceName: "deferrable",
		Deadline:       lagoonbarrow.Duration(time.Second),
	}
	switch {
	case len(path) >= 8 && path[:8] == "/browse/":
		return class, nil
	case len(path) >= 8 && path[:8] == "/orders/":
		class.Name = "orders"
		class.AtMostOnce = true
		return class, nil
	default:
		return class, lagoonbarrow.ErrNotFound
	}
}

func (f *fakeDependencies) Available() bool { return !f.platformDown }

func (f *fakeDependencies) Allow(lagoonbarrow.ContractRecord, lagoonbarrow.WorkUnits, lagoonbarrow.Importance) (bool, time.Duration) {
	return !f.overQuota, time.Second
}

func (f *fakeDependencies) Record(event.Kind, event.Fields) {}

func (f *fakeDependencies) Do(_ context.Context, _ lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	f.calls = append(f.calls, call)
	answer := f.answer
	return &answer
}

func (f *fakeDependencies) listener() *CustomerListener {
	return NewCustomerListener(CustomerConfig{
		Service:   "sheets",
		Contracts: f,
		Quota:     f,
		Table:     f,
		Ledger:    budget.New(budget.Config{}),
		Caller:    f,
		Recorder:  f,
		Scope:     tally.NoopScope,
	})
}

// newRequest returns a request with the given headers, as pairs of name and value.
func newRequest(method, target string, body []byte, headers ...string) *fasthttp.RequestCtx {
	var request fasthttp.Request
	request.Header.SetMethod(method)
	request.Header.SetRequestURI(target)
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	request.SetBody(body)
	var ctx fasthttp.RequestCtx
	ctx.Init(&request, nil, nil)
	return &ctx
}
