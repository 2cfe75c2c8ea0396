package admin

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
)

// precondition is what a change requires: the current version, or that the contract
// does not exist yet (version 0 and create).
type precondition struct {
	version lagoonbarrow.ContractVersion
	create  bool
}

func (s *Server) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.config.RequestTimeout)
}

func (s *Server) listContracts(ctx *fasthttp.RequestCtx, _ []string) {
	requestCtx, cancel := s.requestContext()
	defer cancel()
	records, err := s.config.Store.List(requestCtx)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	if records == nil {
		records = []lagoonbarrow.ContractRecord{}
	}
	writeJSON(ctx, fasthttp.StatusOK, records)
}

// getContract returns the record stored in the platform. With the query in-force=true
// it returns the record that this node applies, for which it does not need the platform.
func (s *Server) getContract(ctx *fasthttp.RequestCtx, parameters []string) {
	customer := lagoonbarrow.CustomerID(parameters[0])
	if ctx.QueryArgs().GetBool("in-force") {
		s.getInForce(ctx, customer)
		return
	}
	requestCtx, cancel := s.requestContext()
	defer cancel()
	record, err := s.config.Store.Get(requestCtx, customer)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeRecord(ctx, fasthttp.StatusOK, record)
}

func (s *Server) getInForce(ctx *fasthttp.RequestCtx, customer lagoonbarrow.CustomerID) {
	if !s.config.Contracts.Ready() {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "contracts are not loaded")
		return
	}
	record, found := s.config.Contracts.Lookup(customer)
	if !found {
		writeFailure(ctx, lagoonbarrow.ErrNotFound)
		return
	}
	writeRecord(ctx, fasthttp.StatusOK, record)
}

func (s *Server) putContract(ctx *fasthttp.RequestCtx, parameters []string) {
	condition, ok := readPrecondition(ctx, true)
	if !ok {
		return
	}
	wanted, err := contract.Decode(ctx.PostBody())
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	if wanted.Customer != lagoonbarrow.CustomerID(parameters[0]) {
		writeError(ctx, fasthttp.StatusBadRequest, "the customer in the body differs from the one in the path")
		return
	}
	requestCtx, cancel := s.requestContext()
	defer cancel()
	record, err := s.config.Store.Apply(requestCtx, wanted, condition.version)
	writeChange(ctx, record, err, condition.create)
}

func (s *Server) deleteContract(ctx *fasthttp.RequestCtx, parameters []string) {
	condition, ok := readPrecondition(ctx, false)
	if !ok {
		return
	}
	requestCtx, cancel := s.requestContext()
	defer cancel()
	record, err := s.config.Store.Retire(requestCtx, lagoonbarrow.CustomerID(parameters[0]), condition.version)
	writeChange(ctx, record, err, false)
}

func writeChange(ctx *fasthttp.RequestCtx, record lagoonbarrow.ContractRecord, err error, create bool) {
	switch {
	case err == nil && create:
		writeRecord(ctx, fasthttp.StatusCreated, record)
	case err == nil:
		writeRecord(ctx, fasthttp.StatusOK, record)
	case errors.Is(err, lagoonbarrow.ErrConflict):
		writeConflict(ctx, record, err, create)
	default:
		writeFailure(ctx, err)
	}
}

// writeConflict answers 409 if the contract to create already exists, and 412 if the
// version has changed. Both answers contain the current record.
func writeConflict(ctx *fasthttp.RequestCtx, record lagoonbarrow.ContractRecord, err error, create bool) {
	body := errorBody{
		Error:          err.Error(),
		CurrentVersion: uint64(record.Version),
	}
	if record.Version > 0 {
		body.Current = &record
		setETag(ctx, uint64(record.Version))
	}
	if create {
		writeJSON(ctx, fasthttp.StatusConflict, body)
		return
	}
	writeJSON(ctx, fasthttp.StatusPreconditionFailed, body)
}

// readPrecondition reads If-Match or If-None-Match. It returns false after it has
// answered 428 if both are missing, or 400 if both are set or one is malformed.
func readPrecondition(ctx *fasthttp.RequestCtx, mayCreate bool) (precondition, bool) {
	ifMatch := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch))
	ifNoneMatch := string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	switch {
	case ifMatch == "" && ifNoneMatch == "":
		writeError(ctx, fasthttp.StatusPreconditionRequired, `If-Match: "version" is missing, or If-None-Match: * to create`)
		return precondition{}, false
	case ifMatch != "" && ifNoneMatch != "":
		writeError(ctx, fasthttp.StatusBadRequest, "If-Match and If-None-Match exclude each other")
		return precondition{}, false
	case ifNoneMatch == "*" && mayCreate:
		return precondition{
			create: true,
		}, true
	}
	version, valid := parseETag(ifMatch)
	if !valid {
		writeError(ctx, fasthttp.StatusBadRequest, `malformed precondition: If-Match takes one version, such as "7"`)
		return precondition{}, false
	}
	return precondition{
		version: lagoonbarrow.ContractVersion(version),
	}, true
}

func parseETag(text string) (uint64, bool) {
	plain, quoted := strings.CutPrefix(text, `"`)
	if quoted {
		var closed bool
		plain, closed = strings.CutSuffix(plain, `"`)
		if !closed {
			return 0, false
		}
	}
	version, err := strconv.ParseUint(plain, 10, 64)
	return version, err == nil && version > 0
}
