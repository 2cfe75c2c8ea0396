package entry

import (
	"context"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// LocalConfig configures a LocalListener.
type LocalConfig struct {
	Address lagoonbarrow.Address
	Limits  Limits
	Ledger  lagoonbarrow.Ledger
	Caller  lagoonbarrow.Caller
	Logger  hclog.Logger
}

// LocalListener serves the downstream calls of the backend server beside this
// node. The path is /{service}/{path...}.
type LocalListener struct {
	config LocalConfig
	server *server
}

// NewLocalListener returns a listener that is not started yet.
func NewLocalListener(config LocalConfig) *LocalListener {
	listener := &LocalListener{
		config: config,
	}
	listener.server = newServer(config.Address, config.Limits, config.Logger, listener.serve)
	return listener
}

// Start listens and returns the address in use.
func (l *LocalListener) Start() (lagoonbarrow.Address, error) {
	return l.server.start()
}

// Stop closes the listener and waits for calls in progress until ctx ends.
func (l *LocalListener) Stop(ctx context.Context) error {
	return l.server.stop(ctx)
}

func (l *LocalListener) serve(ctx *fasthttp.RequestCtx) {
	parent := lagoonbarrow.CallID(ctx.Request.Header.Peek(lagoonbarrow.HeaderCall))
	account, err := l.config.Ledger.Lookup(parent)
	if err != nil {
		writeRefusal(ctx, "", lagoonbarrow.NewRefusal(parent, lagoonbarrow.ReasonUnknownCall))
		return
	}
	if err := checkTarget(ctx); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	call, ok := downstreamCall(ctx, account.Call())
	if !ok {
		writeError(ctx, fasthttp.StatusBadRequest, "the path must be /{service}/{path}")
		return
	}
	callCtx, cancel := disconnectContext(context.Background(), ctx)
	defer cancel()
	callCtx, cancelDeadline := context.WithDeadline(callCtx, account.Deadline())
	defer cancelDeadline()
	writeAnswer(ctx, call.Request, l.config.Caller.Do(callCtx, account, call))
}

// downstreamCall builds a call with the content of the request and the properties of
// its parent. It returns false if the path has no service.
func downstreamCall(ctx *fasthttp.RequestCtx, parent *lagoonbarrow.Call) (*lagoonbarrow.Call, bool) {
	service, path, found := strings.Cut(strings.TrimPrefix(pathWithQuery(ctx), "/"), "/")
	if !found || service == "" {
		return nil, false
	}
	return &lagoonbarrow.Call{
		ID:         lagoonbarrow.NewCallID(),
		Request:    parent.Request,
		Customer:   parent.Customer,
		Class:      parent.Class,
		Priority:   parent.Priority,
		Long:       parent.Long,
		Depth:      parent.Depth + 1,
		AtMostOnce: parent.AtMostOnce,
		Service:    lagoonbarrow.ServiceName(service),
		Method:     string(ctx.Method()),
		Path:       "/" + path,
		Header:     downstreamHeader(ctx),
		Body:       ctx.Request.Body(),
	}, true
}

// downstreamHeader returns the application's own headers and the call key, which
// distinguishes intended repeats of the same call.
func downstreamHeader(ctx *fasthttp.RequestCtx) []lagoonbarrow.HeaderField {
	fields := forwardableHeaders(ctx)
	key := ctx.Request.Header.Peek(lagoonbarrow.HeaderCallKey)
	if len(key) == 0 {
		return fields
	}
	return append(fields, lagoonbarrow.HeaderField{
		Name:  lagoonbarrow.HeaderCallKey,
		Value: string(key),
	})
}
