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

// Node is a node process that faults are injected into.
type Node struct {
	fleet   *Fleet
	Name    string
	Zone    string
	Service Service
	Backend *backend.Server
	Address lagoonbarrow.Address
	Entry   lagoonbarrow.Address
	Local   lagoonbarrow.Address
	Peer    lagoonbarrow.Address
	// advertise is where other nodes connect to; peer when empty.
	Advertise lagoonbarrow.Address
	// platform is where the node finds the platform; the fleet's when empty.
	Platform lagoonbarrow.Address
	Admin    lagoonbarrow.Address

	cutter *cutter
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	frozen bool
	log    lockedBuffer
}

// lockedBuffer collects a process's log while a test may read it.
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
	platform := n.fleet.address
	if n.Platform != "" {
		platform = n.Platform
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
		"address = " + string(n.Address),
		"health-path = /health",
		fmt.Sprintf("slots = %d", n.Service.Slots),
		"connections = 500",
		"[platform]",
		"address = " + string(platform),
		"timeout = 500ms",
		"probe-interval = 200ms",
		"[security]",
		"peer-key = " + PeerKey,
		"read-token = " + readToken,
		"change-token = " + changeToken,
	}
	if !strings.Contains(n.fleet.extra, "[control]") {
		// Short, so that tests of failures don't wait for detection.
		lines = append(lines, "[control]", "probe-interval = 200ms")
	}
	return strings.Join(lines, "\n") + "\n" + n.fleet.extra
}

// Start starts the process; it may be called again after the process ended.
func (n *Node) Start() {
	n.fleet.TB.Helper()
	path := filepath.Join(n.fleet.folder, n.Name+".ini")
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

// Kill ends the process at once, as a failed instance would.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// Freeze pauses the process.
func (n *Node) Freeze() {
	n.Signal(syscall.SIGSTOP)
}

// Thaw lets a paused process go on.
func (n *Node) Thaw() {
	n.Signal(syscall.SIGCONT)
}

// Stop asks for a graceful stop and reports whether it ended within the limit.
func (n *Node) Stop(limit time.Duration) bool {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ready reports whether /readyz says so.
func (n *Node) Ready() bool {
	response, err := n.fleet.http.Get("http://" + string(n.Admin) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// PID returns the process's id.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Logs returns what the process has logged.
func (n *Node) Logs() string {
	return n.log.String()
}
