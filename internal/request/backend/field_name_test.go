package backend

import (
	"fmt"
	"strings"
	"testing"

	"lagoonbarrow"
)

// invalidFieldLines returns field lines whose name holds a blank or a control byte.
func invalidFieldLines() []string {
	lines := []string{
		"Content-Length : 1\r\n",
		"Content-Length\t: 1\r\n",
		"Content Length: 1\r\n",
		" Content-Length: 1\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Not-Executed : 1\r\nLagoonbarrow-Outcome : not-run\r\n",
		" : y\r\n",
		" \r\n",
		"\t\r\n",
	}
	controls := []byte{' ', 0x7f}
	for control := byte(0); control < ' '; control++ {
		controls = append(controls, control)
	}
	for _, control := range controls {
		for _, name := range []string{"%cX-Name", "X%c-Name", "X-Name%c"} {
			lines = append(lines, fmt.Sprintf(name+": y\r\n", control))
		}
	}
	return lines
}

// Guards against an answer of a failing server in whose head a field name is invalid: it was
// passed on with the line, or with a body that the line framed wrongly.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		names  = "Request-Id: r1\r\nResponse-Signature: s\r\n"
		length = "Content-Length: 2\r\n"
		end    = "\r\nok"
	)
	for _, line := range invalidFieldLines() {
		for position, answer := range map[string]string{
			"first":          status + line + names + length + end,
			"in the middle":  status + names + line + length + end,
			"last":           status + names + length + line + end,
			"without length": status + names + line + "Connection: close\r\n" + end,
			"of interim":     "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + status + names + length + end,
			"of refusal":     "HTTP/1.1 503 E\r\nNot-Executed: 1\r\nLagoonbarrow-Outcome: not-run\r\n" + line + "Content-Length: 0\r\n\r\n",
		} {
			t.Run(fmt.Sprintf("%q, %s", line, position), func(t *testing.T) {
				checkNoAnswer(t, answer, true)
			})
		}
	}
}

// Guards against answers with unusual but valid field lines that are taken for invalid ones.
func TestUnusualFieldLinesAreAnswers(t *testing.T) {
	const name = "!#$%&'*+-.^_`|~09azAZ"
	long := strings.Repeat("y", 8<<10)
	tests := []struct {
		line  string
		name  string
		value string
	}{
		{
			line:  name + ": y",
			name:  name,
			value: "y",
		},
		{
			line:  "X:y",
			name:  "X",
			value: "y",
		},
		{
			line:  "X: \t y \t",
			name:  "X",
			value: "y",
		},
		{
			line:  "X: a b\tc: d",
			name:  "X",
			value: "a b\tc: d",
		},
		{
			line:  "X: \xe4",
			name:  "X",
			value: "\xe4",
		},
		{
			line: "X:",
			name: "X",
		},
		{
			line:  "X: " + long,
			name:  "X",
			value: long,
		},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%.30q", test.line), func(t *testing.T) {
			answer, _ := relayTo(t, "HTTP/1.1 200 OK\r\n"+test.line+"\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok", false)
			if answer.Outcome != lagoonbarrow.OutcomeDone || string(answer.Body) != "ok" {
				t.Fatalf("outcome %s, body %q", answer.Outcome, answer.Body)
			}
			for _, field := range answer.Header {
				if strings.EqualFold(field.Name, test.name) && field.Value == test.value {
					return
				}
			}
			t.Errorf("headers %q", answer.Header)
		})
	}
}

// Guards against a field behind the body that counts as one of the head: a complete answer was
// taken for a refusal of a request that was not run, or got a signature or an id.
func TestTrailerIsNoPartOfTheHead(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		names  = "Request-Id: r1\r\nResponse-Signature: s\r\n"
		chunks = "\r\n2\r\nok\r\n0\r\n"
	)
	tests := []struct {
		name   string
		answer string
		want   lagoonbarrow.Outcome
	}{
		{
			name:   "refusal",
			answer: head + names + chunks + "Not-Executed: 1\r\n\r\n",
			want:   lagoonbarrow.OutcomeDone,
		},
		{
			name:   "refusal with an invalid name",
			answer: head + names + chunks + "Not-Executed : 1\r\n\r\n",
			want:   lagoonbarrow.OutcomeDone,
		},
		{
			name:   "announced refusal",
			answer: head + names + "Trailer: Not-Executed\r\n" + chunks + "Not-Executed: 1\r\n\r\n",
			want:   lagoonbarrow.OutcomeDone,
		},
		{
			name:   "signature",
			answer: head + "Request-Id: r1\r\n" + chunks + "Response-Signature: s\r\n\r\n",
			want:   lagoonbarrow.OutcomeUnknown,
		},
		{
			name:   "id",
			answer: head + "Response-Signature: s\r\n" + chunks + "Request-Id: r1\r\n\r\n",
			want:   lagoonbarrow.OutcomeUnknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, _ := relayTo(t, test.answer, false)
			if answer.Outcome != test.want {
				t.Errorf("outcome %s, status %d, body %q, headers %q", answer.Outcome, answer.Status, answer.Body, answer.Header)
			}
		})
	}
}
