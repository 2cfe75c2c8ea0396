package fleet

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
)

// Node is a node process with its backend server. Its methods control the process and
// inject faults.
type Node struct {
	fleet          *Fleet
	Name           string
	Zone           string
	Service        Service
	Backend        *backend.Server
	BackendAddress lagoonbarrow.Address
	Entry          lagoonbarrow.Address
	Local          lagoonbarrow.Address
	Peer           lagoonbarrow.Address
	// Advertise is the address that other nodes connect to, Peer if empty.
	Advertise lagoonbarrow.Address
	// PlatformAddress is the address of the node's platform, the fleet's if empty.
	PlatformAddress lagoonbarrow.Address
	Admin           lagoonbarrow.Address

	proxy  *peerProxy
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	frozen bool
	log    lockedBuffer
}

// lockedBuffer collects a process's log and allows concurrent reads.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (n *Node) settings() string {
	platformAddress := n.fleet.platformAddress
	if n.PlatformAddress != "" {
		platformAddress = n.PlatformAddress
	}
	lines := []string{
		"[instance]",
		"id = " + n.Name,
		"service = " + n.Service.Name,
		"zone = " + n.Zone,
		"region = north",
		"[listen]",
		"entry-address = " + string(n.Entry),
		"local-address = " + string(n.Local),
		"peer-address = " + string(n.Peer),
		"peer-advertise-address = " + string(n.Advertise),
		"admin-address = " + string(n.Admin),
		"[backend]",
		"address = " + string(n.BackendAddress),
		"health-path = /health",
		fmt.Sprintf("slots = %d", n.Service.Slots),
		"connections = 500",
		"[platform]",
		"address = " + string(platformAddress),
		"timeout = 500ms",
		"probe-interval = 200ms",
		"[security]",
		"peer-key = " + PeerKey,
		"read-token = " + readToken,
		"change-token = " + changeToken,
	}
	if !strings.Contains(n.fleet.extraSettings, "[control]") {
		// A short interval speeds up failure detection in the tests.
		lines = append(lines, "[control]", "probe-interval = 200ms")
	}
	return strings.Join(lines, "\n") + "\n" + n.fleet.extraSettings
}

// Start starts the process. It may be called again after the process has ended.
func (n *Node) Start() {
	n.fleet.TB.Helper()
	path := filepath.Join(n.fleet.dir, n.Name+".ini")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		n.fleet.TB.Fatal(err)
	}
	cmd := exec.Command(n.fleet.binary, "node", "--settings", path)
	cmd.Stderr = &n.log
	if err := cmd.Start(); err != nil {
		n.fleet.TB.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = cmd
	n.ended = ended
	n.frozen = false
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(signal)
}

// Kill ends the process with SIGKILL, as a crash does, and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// Freeze suspends the process with SIGSTOP.
func (n *Node) Freeze() {
	n.Signal(syscall.SIGSTOP)
}

// Unfreeze resumes a suspended process.
func (n *Node) Unfreeze() {
	n.Signal(syscall.SIGCONT)
}

// Stop sends SIGTERM and reports whether the process ended within the limit.
func (n *Node) Stop(limit time.Duration) bool {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ready reports whether /readyz answers 200.
func (n *Node) Ready() bool {
	response, err := n.fleet.http.Get("http://" + string(n.Admin) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// PID returns the process ID.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Logs returns the log output of the process.
func (n *Node) Logs() string {
	return n.log.String()
}
