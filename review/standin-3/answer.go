package main

import (
	"fmt"
	"strings"
)

// bodyBytes is the length of the bodies that servers answer.
const bodyBytes = 600

// wholeBody returns the body of the answer to a request.
func wholeBody(id string) string {
	text := "minutes " + id + " "
	return strings.Repeat(text, bodyBytes/len(text)+1)[:bodyBytes]
}

// chunkedAnswer returns a whole answer in two chunks.
func chunkedAnswer(id string) string {
	body := wholeBody(id)
	half := len(body) / 2
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: 3e1b.07." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
}
