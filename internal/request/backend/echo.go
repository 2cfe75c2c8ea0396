package backend

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// maxAnswersRead bounds the answers that are read from a connection to find the one to
// the current request.
const maxAnswersRead = 3

// errStrayAnswer is returned when no answer to the request was read.
var errStrayAnswer = errors.Wrap(lagoonbarrow.ErrAnswerLost, "backend: answer to another request")

// match tells how an answer was matched with its request.
type match struct {
	// named is set if the answer has the id of the request. Otherwise it has no id and
	// was the next one on the connection.
	named bool
	// strays counts the answers before it that were not to this request.
	strays int
}

// readAnswer reads the complete answer to a call. It skips answers to earlier requests on
// the connection, which a faulty server may send late or once more.
func (c *Client) readAnswer(conn *connection, call *lagoonbarrow.Call, response *fasthttp.Response, d dialect) (match, error) {
	sent := d.requestID(call)
	for strays := range maxAnswersRead {
		response.Reset()
		if err := d.read(conn, call, response); err != nil {
			return match{}, err
		}
		echo := d.echoedID(response)
		if echo != "" && echo == sent {
			conn.namesRequests = true
			return match{
				named:  true,
				strays: strays,
			}, nil
		}
		if echo == "" && !d.acceptsUnnamed(call, response.StatusCode()) {
			return match{}, errStrayAnswer
		}
		if echo == "" && !conn.namesRequests {
			return match{
				strays: strays,
			}, nil
		}
		c.config.Scope.Counter("stray-answers").Inc(1)
		if response.ConnectionClose() {
			return match{}, errStrayAnswer
		}
	}
	return match{}, errStrayAnswer
}

// allowsReuse reports whether the connection may carry another request after the answer.
// A refusal without an id could be sent once more, and then be taken for the answer to
// the next request.
func (m match) allowsReuse(answer *lagoonbarrow.Answer, d dialect) bool {
	if m.strays > 0 {
		return false
	}
	return m.named || d.mayReuseAfterUnnamed(answer)
}
