package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"
)

const bearerPrefix = "Bearer "

// authorize answers 401 without a known credential, and 403 when a read
// credential asks for a change.
func (s *Server) authorize(ctx *fasthttp.RequestCtx, needed access) bool {
	if needed == accessOpen {
		return true
	}
	given := s.accessOf(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if given == accessOpen {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		writeError(ctx, fasthttp.StatusUnauthorized, "unknown credential")
		return false
	}
	if given < needed {
		writeError(ctx, fasthttp.StatusForbidden, "the credential does not allow changes")
		return false
	}
	return true
}

func (s *Server) accessOf(header string) access {
	token, found := strings.CutPrefix(header, bearerPrefix)
	if !found {
		return accessOpen
	}
	// Both comparisons are always made, so that the time taken does not tell
	// which of them failed.
	change := sameToken(token, s.config.ChangeToken)
	read := sameToken(token, s.config.ReadToken)
	switch {
	case change:
		return accessChange
	case read:
		return accessRead
	default:
		return accessOpen
	}
}

// sameToken compares hashes, because a constant-time comparison of the texts
// would tell their length.
func sameToken(given, want string) bool {
	givenSum := sha256.Sum256([]byte(given))
	wantSum := sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(givenSum[:], wantSum[:]) == 1 && want != ""
}
