package backend

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// keepAliveHeader holds how long the server keeps an idle connection, in whole seconds.
	keepAliveHeader  = "Keep-Alive"
	timeoutParameter = "timeout"
	// keepAliveMargin is the part of that time in which a connection isn't reused any more. A
	// request could arrive after the server has dropped the connection.
	keepAliveMargin = 200 * time.Millisecond
	// maxKeepAliveSeconds bounds the number in the header.
	maxKeepAliveSeconds = 24 * 3600
)

// keepAliveTimeout returns how long a server keeps an idle connection after an answer. found
// is false if the answer doesn't say so.
func keepAliveTimeout(header *fasthttp.ResponseHeader) (timeout time.Duration, found bool) {
	for _, parameter := range strings.Split(string(header.Peek(keepAliveHeader)), ",") {
		name, value, hasName := strings.Cut(strings.TrimSpace(parameter), "=")
		if !hasName {
			value = name
		} else if !strings.EqualFold(strings.TrimSpace(name), timeoutParameter) {
			continue
		}
		seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 32)
		if err == nil && seconds <= maxKeepAliveSeconds {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
