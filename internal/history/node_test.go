package history

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

// nodeProcess is a node process that faults are injected into.
type nodeProcess struct {
	fleet   *fleet
	name    string
	zone    string
	service serviceSpec
	backend *backend.Server
	address lagoonbarrow.Address
	entry   lagoonbarrow.Address
	local   lagoonbarrow.Address
	peer    lagoonbarrow.Address
	// advertise is where other nodes connect to; peer when empty.
	advertise lagoonbarrow.Address
	// platform is where the node finds the platform; the fleet's when empty.
	platform lagoonbarrow.Address
	admin    lagoonbarrow.Address

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

func (n *nodeProcess) settings() string {
	platform := n.fleet.address
	if n.platform != "" {
		platform = n.platform
	}
	lines := []string{
		"[instance]",
		"id = " + n.name,
		"service = " + n.service.name,
		"zone = " + n.zone,
		"region = north",
		"[listen]",
		"entry-address = " + string(n.entry),
		"local-address = " + string(n.local),
		"peer-address = " + string(n.peer),
		"peer-advertise-address = " + string(n.advertise),
		"admin-address = " + string(n.admin),
		"[backend]",
		"address = " + string(n.address),
		"health-path = /health",
		fmt.Sprintf("slots = %d", n.service.slots),
		"connections = 500",
		"[platform]",
		"address = " + string(platform),
		"timeout = 500ms",
		"probe-interval = 200ms",
		"[security]",
		"peer-key = " + peerKey,
		"read-token = " + readToken,
		"change-token = " + changeToken,
		"[control]",
		"probe-interval = 200ms",
	}
	return strings.Join(lines, "\n") + "\n" + n.fleet.extra
}

// start starts the process; it may be called again after the process ended.
func (n *nodeProcess) start() {
	n.fleet.t.Helper()
	path := filepath.Join(n.fleet.folder, n.name+".ini")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		n.fleet.t.Fatal(err)
	}
	cmd := exec.Command(binary, "node", "--settings", path)
	cmd.Stderr = &n.log
	if err := cmd.Start(); err != nil {
		n.fleet.t.Fatal(err)
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

func (n *nodeProcess) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(signal)
}

// kill ends the process at once, as a failed instance would.
func (n *nodeProcess) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// freeze pauses the process.
func (n *nodeProcess) freeze() {
	n.signal(syscall.SIGSTOP)
}

// thaw lets a paused process go on.
func (n *nodeProcess) thaw() {
	n.signal(syscall.SIGCONT)
}

// stop asks for a graceful stop and reports whether it ended within the limit.
func (n *nodeProcess) stop(limit time.Duration) bool {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (n *nodeProcess) ready() bool {
	response, err := n.fleet.http.Get("http://" + string(n.admin) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
