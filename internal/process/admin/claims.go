package admin

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
)

// claimView is a claim row without the header and body of the stored answer, which
// are data of the customer.
type claimView struct {
	Customer lagoonbarrow.CustomerID `json:"customer"`
	Key      string                  `json:"key"`
	State    lagoonbarrow.ClaimState `json:"state"`
	Attempt  lagoonbarrow.AttemptID  `json:"attempt"`
	Instance lagoonbarrow.InstanceID `json:"instance"`
	Digest   string                  `json:"digest"`
	Deadline time.Time               `json:"deadline"`
	Version  lagoonbarrow.RowVersion `json:"version"`
	Outcome  lagoonbarrow.Outcome    `json:"answer-outcome,omitempty"`
	Status   int                     `json:"answer-status,omitempty"`
}

type settleRequest struct {
	Expected *lagoonbarrow.RowVersion `json:"expected"`
	Ran      *bool                    `json:"ran"`
}

func viewClaim(claim lagoonbarrow.Claim) claimView {
	view := claimView{
		Customer: claim.Customer,
		Key:      claim.Key,
		State:    claim.State,
		Attempt:  claim.Attempt,
		Instance: claim.Instance,
		Digest:   claim.Digest,
		Deadline: claim.Deadline,
		Version:  claim.Version,
	}
	if claim.Answer != nil {
		view.Outcome = claim.Answer.Outcome
		view.Status = claim.Answer.Status
	}
	return view
}

func (s *Server) getClaim(ctx *fasthttp.RequestCtx, parameters []string) {
	requestCtx, cancel := s.requestContext()
	defer cancel()
	claim, err := s.config.Claims.Lookup(requestCtx, lagoonbarrow.CustomerID(parameters[0]), parameters[1])
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeClaim(ctx, claim)
}

func (s *Server) settleClaim(ctx *fasthttp.RequestCtx, parameters []string) {
	request, err := decodeSettle(ctx.PostBody())
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	requestCtx, cancel := s.requestContext()
	defer cancel()
	customer := lagoonbarrow.CustomerID(parameters[0])
	claim, err := s.config.Claims.Settle(requestCtx, customer, parameters[1], *request.Expected, *request.Ran)
	if err != nil {
		writeClaimFailure(ctx, claim, err)
		return
	}
	writeClaim(ctx, claim)
}

// writeClaimFailure adds the version of the row that prevented the settlement.
func writeClaimFailure(ctx *fasthttp.RequestCtx, claim lagoonbarrow.Claim, err error) {
	if claim.Version == 0 {
		writeFailure(ctx, err)
		return
	}
	setETag(ctx, uint64(claim.Version))
	writeJSON(ctx, statusOf(err), errorBody{
		Error:          err.Error(),
		CurrentVersion: uint64(claim.Version),
	})
}

func writeClaim(ctx *fasthttp.RequestCtx, claim lagoonbarrow.Claim) {
	setETag(ctx, uint64(claim.Version))
	writeJSON(ctx, fasthttp.StatusOK, viewClaim(claim))
}

// decodeSettle decodes the body of a settlement. Both fields are required, because a
// default for either could settle a claim incorrectly.
func decodeSettle(text []byte) (settleRequest, error) {
	var request settleRequest
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, errors.Wrapf(lagoonbarrow.ErrInvalid, "admin: decode settlement: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return request, errors.Wrap(lagoonbarrow.ErrInvalid, "admin: decode settlement: text after the end")
	}
	var faults []string
	if request.Expected == nil || *request.Expected == 0 {
		faults = append(faults, "expected: the row version is missing")
	}
	if request.Ran == nil {
		faults = append(faults, "ran: missing")
	}
	if len(faults) > 0 {
		return request, &contract.InvalidError{
			Faults: faults,
		}
	}
	return request, nil
}
