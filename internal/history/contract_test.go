package history

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/fleet"
)

// inForceLimit is the users' limit on the time from the acceptance of a contract
// change until it is in force on all nodes.
const inForceLimit = 7 * time.Second

// registerInput is a read or write of one contract, modelled as a compare-and-set
// register.
type registerInput struct {
	// write is false for a read.
	write    bool
	expected uint64
	// rate is the value written.
	rate int
}

// registerOutput is the result of an operation as the operator received it.
type registerOutput struct {
	// ok is set if the write was accepted or the read was answered.
	ok bool
	// unknown is set if a write may or may not have taken effect.
	unknown bool
	version uint64
	rate    int
}

// register is the state of registerModel.
type register struct {
	version uint64
	rate    int
}

// registerModel is a compare-and-set register. Writes with an unknown outcome
// may or may not take effect.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		current := state.(register)
		in := input.(registerInput)
		out := output.(registerOutput)
		if !in.write {
			if !out.ok || (out.version == current.version && out.rate == current.rate) {
				return []any{current}
			}
			return nil
		}
		written := register{
			version: current.version + 1,
			rate:    in.rate,
		}
		matches := in.expected == current.version
		switch {
		case out.unknown && matches:
			return []any{current, written}
		case out.unknown:
			return []any{current}
		case out.ok && matches && out.version == written.version:
			return []any{written}
		case !out.ok && !matches:
			return []any{current}
		default:
			return nil
		}
	},
	Equal: func(first, second any) bool { return first == second },
}

// operations records the operations on the contract, which porcupine checks for
// linearizability.
type operations struct {
	mu       sync.Mutex
	list     []porcupine.Operation
	accepted []acceptedChange
}

// acceptedChange is a contract change that was accepted.
type acceptedChange struct {
	revision lagoonbarrow.Revision
	version  lagoonbarrow.ContractVersion
	// at is when the operator received the acceptance.
	at time.Time
}

// Guards against contract changes that are lost, reverted, or late to come into
// force. Concurrent operators change a contract through different nodes while nodes
// are killed and restarted, frozen and disconnected, and the platform fails and loses
// answers.
func TestPropertyContractChanges(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 4, fleet.Service{
			Slots:       10,
			ServiceTime: time.Millisecond,
			PeerProxy:   true,
		})...)
		var history operations
		watch := f.watchVersions("residents")
		stop := make(chan struct{})
		var operators sync.WaitGroup
		started := time.Now()
		for operator := range 4 {
			operatorRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(operator)))
			operators.Add(1)
			go func() {
				defer operators.Done()
				f.runOperator(stop, operatorRandom, operator, started, &history)
			}()
		}
		f.injectFaults(random, 6*time.Second, f.Nodes, nodeFaults, platformFaults)
		close(stop)
		operators.Wait()
		f.checkLastChange(&history)
		close(watch.stop)
		watch.ended.Wait()
		f.checkLinearizable(&history)
	})
}

// runOperator reads and changes the contract through random nodes, concurrently with
// the other operators.
func (f *testFleet) runOperator(stop chan struct{}, random *rand.Rand, operator int, started time.Time, history *operations) {
	for round := 1; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		node := f.Nodes[random.IntN(len(f.Nodes))]
		version := f.readContract(node, operator, started, history)
		f.writeContract(node, operator, version, operator*1000+round, started, history)
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

func (f *testFleet) readContract(node *fleet.Node, operator int, started time.Time, history *operations) uint64 {
	begin := time.Since(started)
	answer := node.AdminRequest(http.MethodGet, "/v1/contracts/residents", nil, nil)
	end := time.Since(started)
	var record lagoonbarrow.ContractRecord
	out := registerOutput{}
	switch {
	case answer.Err == nil && answer.Status == http.StatusOK && json.Unmarshal(answer.Body, &record) == nil:
		out = registerOutput{
			ok:      true,
			version: uint64(record.Version),
			rate:    int(record.Contract.WorkUnitsPerSecond),
		}
	case answer.Err == nil && answer.Status == http.StatusNotFound:
		out.ok = true
	}
	history.add(operator, registerInput{}, out, begin, end)
	return out.version
}

func (f *testFleet) writeContract(node *fleet.Node, operator int, version uint64, rate int, started time.Time, history *operations) {
	contract := fleet.ContractFor("residents", fleet.APIKey)
	contract.WorkUnitsPerSecond = lagoonbarrow.WorkUnits(rate)
	begin := time.Since(started)
	answer := node.PutContract(contract, lagoonbarrow.ContractVersion(version))
	end := time.Since(started)
	in := registerInput{
		write:    true,
		expected: version,
		rate:     rate,
	}
	out := registerOutput{}
	switch {
	case answer.Err == nil && answer.Status < http.StatusMultipleChoices:
		var record lagoonbarrow.ContractRecord
		if err := json.Unmarshal(answer.Body, &record); err != nil {
			f.t.Error(err)
			return
		}
		out.ok = true
		out.version = uint64(record.Version)
		history.addAccepted(record)
	case answer.Err == nil && (answer.Status == http.StatusConflict || answer.Status == http.StatusPreconditionFailed):
	case answer.Err == nil && answer.Status == http.StatusServiceUnavailable:
		// The write was refused without effect, so it is not recorded.
		return
	default:
		out.unknown = true
		// The write may still take effect later.
		end = time.Hour
	}
	history.add(operator, in, out, begin, end)
}

func (o *operations) add(client int, in registerInput, out registerOutput, begin, end time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Output:   out,
		Call:     int64(begin),
		Return:   int64(end),
	})
}

func (o *operations) addAccepted(record lagoonbarrow.ContractRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, acceptedChange{
		revision: record.Revision,
		version:  record.Version,
		at:       time.Now(),
	})
}

// versionWatch reads the version in force on every node and checks that it
// never decreases.
type versionWatch struct {
	stop  chan struct{}
	ended sync.WaitGroup
}

func (f *testFleet) watchVersions(customer lagoonbarrow.CustomerID) *versionWatch {
	watch := &versionWatch{
		stop: make(chan struct{}),
	}
	for _, node := range f.Nodes {
		watch.ended.Add(1)
		go func() {
			defer watch.ended.Done()
			f.watchNode(node, customer, watch.stop)
		}()
	}
	return watch
}

func (f *testFleet) watchNode(node *fleet.Node, customer lagoonbarrow.CustomerID, stop chan struct{}) {
	highest := lagoonbarrow.ContractVersion(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		record := node.ContractInForce(customer)
		if record.Version == 0 {
			continue
		}
		if record.Version < highest {
			f.t.Errorf("%s has version %d in force after version %d", node.Name, record.Version, highest)
		}
		highest = max(highest, record.Version)
	}
}

// checkLastChange makes one more change after the faults have ended and checks that
// it is in force on every node within inForceLimit.
func (f *testFleet) checkLastChange(history *operations) {
	f.t.Helper()
	var record lagoonbarrow.ContractRecord
	f.Await("a change is accepted after the faults", fleet.StartTimeout, func() bool {
		answer := f.Nodes[0].AdminRequest(http.MethodGet, "/v1/contracts/residents", nil, nil)
		etag, _ := strconv.Unquote(answer.ETag)
		current, _ := strconv.ParseUint(etag, 10, 64)
		contract := fleet.ContractFor("residents", fleet.APIKey)
		contract.WorkUnitsPerSecond = 9999
		answer = f.Nodes[0].PutContract(contract, lagoonbarrow.ContractVersion(current))
		return answer.Err == nil && answer.Status < http.StatusMultipleChoices && json.Unmarshal(answer.Body, &record) == nil
	})
	accepted := time.Now()
	for _, node := range f.Nodes {
		f.Await(fmt.Sprintf("%s has version %d in force", node.Name, record.Version), inForceLimit, func() bool {
			return node.ContractInForce("residents").Version >= record.Version
		})
	}
	f.t.Logf("%d accepted changes; the last was in force on %d nodes after %s", len(history.accepted), len(f.Nodes), time.Since(accepted).Round(time.Millisecond))
}

// checkLinearizable checks the recorded operations against registerModel, and that no
// version was accepted twice.
func (f *testFleet) checkLinearizable(history *operations) {
	f.t.Helper()
	result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history.list, time.Minute)
	if result != porcupine.Ok {
		f.t.Errorf("the check of %d contract operations for linearizability returned %s", len(history.list), result)
	}
	seen := map[lagoonbarrow.ContractVersion]bool{}
	for _, change := range history.accepted {
		if seen[change.version] {
			f.t.Errorf("version %d was accepted twice", change.version)
		}
		seen[change.version] = true
	}
}
