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

func (l *LocalListener) serve(http *fasthttp.RequestCtx) {
	parent := lagoonbarrow.CallID(http.Request.Header.Peek(lagoonbarrow.HeaderCall))
	account, err := l.config.Ledger.Lookup(parent)
	if err != nil {
		writeRefusal(http, "", lagoonbarrow.Refuse(parent, lagoonbarrow.ReasonUnknownCall))
		return
	}
	if err := checkTarget(http); err != nil {
		writeError(http, fasthttp.StatusBadRequest, err.Error())
		return
	}
	call, found := downstreamCall(http, account.Call())
	if !found {
		writeError(http, fasthttp.StatusBadRequest, "the path must be /{service}/{path}")
		return
	}
	ctx, cancel := follow(http)
	defer cancel()
	ctx, cancelDeadline := context.WithDeadline(ctx, account.Deadline())
	defer cancelDeadline()
	writeAnswer(http, call.Request, l.config.Caller.Do(ctx, account, call))
}

// downstreamCall builds a call that inherits everything but its content.
func downstreamCall(http *fasthttp.RequestCtx, parent *lagoonbarrow.Call) (*lagoonbarrow.Call, bool) {
	service, path, found := strings.Cut(strings.TrimPrefix(pathWithQuery(http), "/"), "/")
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
		Method:     string(http.Method()),
		Path:       "/" + path,
		Header:     downstreamHeader(http),
		Body:       bodyCopy(http),
	}, true
}

// downstreamHeader keeps the application's own headers and the key that tells
// intended repeats apart.
func downstreamHeader(http *fasthttp.RequestCtx) []lagoonbarrow.HeaderField {
	fields := passedHeader(http)
	key := http.Request.Header.Peek(lagoonbarrow.HeaderCallKey)
	if len(key) == 0 {
		return fields
	}
	return append(fields, lagoonbarrow.HeaderField{
		Name:  lagoonbarrow.HeaderCallKey,
		Value: string(key),
	})
}
