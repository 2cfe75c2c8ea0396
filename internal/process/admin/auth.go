package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"
)

const bearerPrefix = "Bearer "

// authorize reports whether the request's credential allows the needed access. It
// answers 401 to an unknown credential and 403 to a change with the read credential.
func (s *Server) authorize(ctx *fasthttp.RequestCtx, needed access) bool {
	if needed == accessNone {
		return true
	}
	granted := s.accessOf(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if granted == accessNone {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		writeError(ctx, fasthttp.StatusUnauthorized, "unknown credential")
		return false
	}
	if granted < needed {
		writeError(ctx, fasthttp.StatusForbidden, "the credential does not allow changes")
		return false
	}
	return true
}

// accessOf returns the access that an Authorization header grants.
func (s *Server) accessOf(header string) access {
	token, found := strings.CutPrefix(header, bearerPrefix)
	if !found {
		return accessNone
	}
	// Both comparisons are always made, so that the response time does not reveal
	// which of them failed.
	change := tokensEqual(token, s.config.ChangeToken)
	read := tokensEqual(token, s.config.ReadToken)
	switch {
	case change:
		return accessChange
	case read:
		return accessRead
	default:
		return accessNone
	}
}

// tokensEqual compares hashes, because a constant-time comparison of the tokens
// themselves would reveal their length. An empty configured token matches nothing.
func tokensEqual(got, want string) bool {
	gotSum := sha256.Sum256([]byte(got))
	wantSum := sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(gotSum[:], wantSum[:]) == 1 && want != ""
}
