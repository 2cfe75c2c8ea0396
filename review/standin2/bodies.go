package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploadBytes is the mean size of a doc-upload of the site.
	uploadBytes = 60000
	// leaveAfter is when a client leaves that has sent half of its body. The page allows
	// any time up to half of the objective of 800 ms.
	leaveAfter = 10 * time.Millisecond
	// uploadClients send one upload after the other, each on a connection of its own that
	// it keeps.
	uploadClients = 16
	uploadsEach   = 50
	// uploadPause is the time between two uploads of a client.
	uploadPause = 20 * time.Millisecond
	// leavingTenths of the uploads are left, as the largest share of the site file says.
	leavingTenths = 3
	uploadTimeout = 4 * time.Second
)

// upload is a request of a client, and what came of it.
type upload struct {
	id     string
	body   []byte
	leaves bool
	status int
	err    error
}

// playPartialBodies lets clients leave while they send the body of an upload. A backend
// server must not run a request with a part of the body.
func playPartialBodies(log *record, trouble bool) (broken bool, err error) {
	f, err := newFleet("bookings", "bookings", "docvault", "docvault")
	if err != nil {
		return false, err
	}
	defer f.close()
	// Most servers drop a request whose connection is closed, but not all.
	f.machines[3].server.finishes = true
	f.configure(route{
		Name:     "doc-upload",
		Prefix:   "/cufi502/",
		Kind:     "upload",
		Timeout:  "4000ms",
		Target:   "800ms",
		Priority: 1,
		Attempts: 2,
		Service:  "docvault",
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	uploads := f.sendUploads(log, trouble)
	// The last runs come to their end.
	time.Sleep(time.Second)
	return checkBodies(log, f, uploads)
}

// sendUploads sends the uploads of all clients, a quarter of them at each machine.
func (f *fleet) sendUploads(log *record, trouble bool) []*upload {
	var all []*upload
	var mu sync.Mutex
	var clients sync.WaitGroup
	for client := range uploadClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			at := f.machines[client%len(f.machines)].ip + requestPort
			sender := &uploader{
				address: at,
			}
			for number := range uploadsEach {
				sent := &upload{
					id:     fmt.Sprintf("%02d%014d", client, number),
					body:   uploadBody(client, number),
					leaves: trouble && number%10 < leavingTenths,
				}
				sender.send(sent)
				time.Sleep(uploadPause)
				log.printf("client %d at %s sent %s: declared %d bytes, left after half of them %t, status %d, error %v",
					client, at, sent.id, len(sent.body), sent.leaves, sent.status, sent.err)
				mu.Lock()
				all = append(all, sent)
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	return all
}

// uploadBody returns a body that differs from all others.
func uploadBody(client, number int) []byte {
	line := fmt.Sprintf("document %d of client %d;", number, client)
	return bytes.Repeat([]byte(line), uploadBytes/len(line)+1)[:uploadBytes]
}

// uploader is a client that keeps its connection.
type uploader struct {
	address string
	client  *http.Client
}

// send sends an upload and waits for the answer, or leaves after half of the body.
func (u *uploader) send(sent *upload) {
	if sent.leaves {
		sent.err = u.leave(sent)
		return
	}
	if u.client == nil {
		u.client = &http.Client{
			Transport: &http.Transport{},
			Timeout:   uploadTimeout,
		}
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+u.address+"/cufi502/2f", bytes.NewReader(sent.body))
	if err != nil {
		sent.err = err
		return
	}
	request.Host = host
	request.Header.Set("Request-Id", sent.id)
	request.Header.Set("Deadline-Ms", "4000")
	response, err := u.client.Do(request)
	if err != nil {
		sent.err = err
		return
	}
	_ = response.Body.Close()
	sent.status = response.StatusCode
}

// leave sends half of the body and closes the connection.
func (u *uploader) leave(sent *upload) error {
	conn, err := net.Dial("tcp", u.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /cufi502/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", host, sent.id, len(sent.body))
	if _, err := conn.Write(append([]byte(head), sent.body[:len(sent.body)/2]...)); err != nil {
		return err
	}
	time.Sleep(leaveAfter)
	return nil
}

// checkBodies reports whether a server ran an upload with another body than the client's.
func checkBodies(log *record, f *fleet, uploads []*upload) (broken bool, err error) {
	byID := map[string]*upload{}
	whole, answered, left := 0, 0, 0
	for _, sent := range uploads {
		byID[sent.id] = sent
		switch {
		case sent.leaves:
			left++
		case sent.status == http.StatusOK:
			answered++
			whole++
		default:
			whole++
		}
	}
	changed, finished := 0, 0
	for _, m := range f.machines {
		for _, ran := range m.server.allRuns() {
			sent := byID[ran.id]
			same := sent != nil && bytes.Equal(ran.body, sent.body)
			log.printf("server %s ran %s: %d bytes, the client's whole body %t, came to its end %t", m.server.id, ran.id, len(ran.body), same, ran.finished)
			if same {
				continue
			}
			changed++
			if ran.finished {
				finished++
			}
		}
	}
	log.summary("uploads sent whole: %d, answered 200: %d; uploads left after half of the body: %d", whole, answered, left)
	log.summary("runs with another body than the client's: %d, of which came to their end: %d", changed, finished)
	if answered < whole*9/10 {
		return false, fmt.Errorf("only %d of %d whole uploads were answered", answered, whole)
	}
	return changed > 0, nil
}
