package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status    int
	signature string
	// bytes is the size of the body that was received.
	bytes int
	err   error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, broken off after %d bytes: %v", a.status, a.bytes, a.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.signature, a.bytes)
}

// client is a client's connection to the outbound address of its machine.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

const (
	// writeInterval is the time between two writes of a machine's clients.
	writeInterval = 50 * time.Millisecond
	// writeDeadline is their deadline.
	writeDeadline = 5 * time.Second
	// readDeadline is the deadline of the reads of long answers.
	readDeadline = 6 * time.Second
)

// windowBytes is the size of the receive buffer of a client's connection.
const windowBytes = 256 << 10

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	// A peer that doesn't read blocks the writer, since the windows of the platform's links
	// are small.
	if err := conn.(*net.TCPConn).SetReadBuffer(windowBytes); err != nil {
		return nil, err
	}
	return &client{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

func (c *client) close() {
	_ = c.conn.Close()
}

// send writes a request without a body.
func (c *client) send(method, path, id string, deadline time.Duration) error {
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: one.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, id, deadline.Milliseconds())
	return err
}

// receive reads one answer. It waits at most for the given time, and reads at most rate bytes
// a second if that isn't 0.
func (c *client) receive(wait time.Duration, rate int) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer response.Body.Close()
	result := answer{
		status:    response.StatusCode,
		signature: response.Header.Get("Response-Signature"),
	}
	result.bytes, result.err = read(response.Body, rate)
	return result
}

// read reads to the end and returns the number of bytes.
func read(body io.Reader, rate int) (total int, err error) {
	if rate == 0 {
		count, err := io.Copy(io.Discard, body)
		return int(count), err
	}
	const step = 20 * time.Millisecond
	buffer := make([]byte, max(1, rate/int(time.Second/step)))
	started := time.Now()
	for {
		count, err := body.Read(buffer)
		total += count
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		due := time.Duration(float64(total) / float64(rate) * float64(time.Second))
		time.Sleep(time.Until(started.Add(due)))
	}
}

// sendWrites sends writes to a node until stop is closed.
func (f *fleet) sendWrites(n *node, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(writeInterval):
		}
		go f.sendOne(n, http.MethodPost, "/file/x", fmt.Sprintf("%s-w%06d", n.name, i), writeDeadline, 0)
	}
}

// sendOne sends one request over a new connection and records the answer. It reads at most
// rate bytes a second if that isn't 0.
func (f *fleet) sendOne(n *node, method, path, id string, deadline time.Duration, rate int) answer {
	c, err := dial(n.outbound())
	if err != nil {
		f.record.add("%s was not sent: %v", id, err)
		return answer{
			err: err,
		}
	}
	defer c.close()
	f.record.add("%s %s %s is sent to %s", id, method, path, n.name)
	if err := c.send(method, path, id, deadline); err != nil {
		return answer{
			err: err,
		}
	}
	result := c.receive(deadline, rate)
	f.record.add("%s is answered: %s", id, result)
	return result
}
