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

// inForceLimit is the users' bound from acceptance to in force everywhere.
const inForceLimit = 7 * time.Second

// registerInput is an operation on one contract, seen as a register of versions.
type registerInput struct {
	// write is false for a read.
	write    bool
	expected uint64
	// rate is the value written.
	rate int
}

// registerOutput is what the operator heard.
type registerOutput struct {
	// ok: the write was accepted, or the read was answered.
	ok bool
	// unknown: the operator can't know whether the write took effect.
	unknown bool
	version uint64
	rate    int
}

// register is the model's state.
type register struct {
	version uint64
	rate    int
}

// registerModel is a compare-and-set register. Writes with an unknown outcome
// may take effect or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		present := state.(register)
		in := input.(registerInput)
		out := output.(registerOutput)
		if !in.write {
			if !out.ok || (out.version == present.version && out.rate == present.rate) {
				return []any{present}
			}
			return nil
		}
		written := register{
			version: present.version + 1,
			rate:    in.rate,
		}
		matches := in.expected == present.version
		switch {
		case out.unknown && matches:
			return []any{present, written}
		case out.unknown:
			return []any{present}
		case out.ok && matches && out.version == written.version:
			return []any{written}
		case !out.ok && !matches:
			return []any{present}
		default:
			return nil
		}
	},
	Equal: func(first, second any) bool { return first == second },
}

// operations collects a history for porcupine.
type operations struct {
	mu       sync.Mutex
	list     []porcupine.Operation
	accepted []acceptance
}

// acceptance is an accepted change and when its operator heard of it.
type acceptance struct {
	revision lagoonbarrow.Revision
	version  lagoonbarrow.ContractVersion
	at       time.Time
}

// Guards against contract changes that are lost, revert, or come into force
// late: operators race through different nodes while nodes are killed, frozen
// and restarted and the platform fails and loses answers.
func TestPropertyContractChanges(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 4, fleet.Service{
			Slots:       10,
			ServiceTime: time.Millisecond,
			Cuttable:    true,
		})...)
		var history operations
		watch := f.watchVersions("residents")
		stop := make(chan struct{})
		var operators sync.WaitGroup
		started := time.Now()
		for operator := range 4 {
			picks := rand.New(rand.NewPCG(random.Uint64(), uint64(operator)))
			operators.Add(1)
			go func() {
				defer operators.Done()
				f.operate(stop, picks, operator, started, &history)
			}()
		}
		f.disturb(random, 6*time.Second, f.Nodes, nodeFaults, platformFaults)
		close(stop)
		operators.Wait()
		f.checkLastChange(&history)
		close(watch.stop)
		watch.ended.Wait()
		f.checkRegister(&history)
	})
}

// operate races to change the contract and reads it.
func (f *testFleet) operate(stop chan struct{}, random *rand.Rand, operator int, started time.Time, history *operations) {
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
	answer := node.Administer(http.MethodGet, "/v1/contracts/residents", nil, nil)
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
		history.accept(record)
	case answer.Err == nil && (answer.Status == http.StatusConflict || answer.Status == http.StatusPreconditionFailed):
	case answer.Err == nil && answer.Status == http.StatusServiceUnavailable:
		// Nothing was done, so there is no operation.
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

func (o *operations) accept(record lagoonbarrow.ContractRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted = append(o.accepted, acceptance{
		revision: record.Revision,
		version:  record.Version,
		at:       time.Now(),
	})
}

// versionWatch reads the version in force on every node and checks that it
// never falls.
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
		record := node.InForce(customer)
		if record.Version == 0 {
			continue
		}
		if record.Version < highest {
			f.t.Errorf("%s serves version %d after version %d", node.Name, record.Version, highest)
		}
		highest = max(highest, record.Version)
	}
}

// checkLastChange makes one more change after the faults ended and checks that
// every node has it in force within the bound.
func (f *testFleet) checkLastChange(history *operations) {
	f.t.Helper()
	var record lagoonbarrow.ContractRecord
	f.Await("a change is accepted after the faults", fleet.StartTimeout, func() bool {
		answer := f.Nodes[0].Administer(http.MethodGet, "/v1/contracts/residents", nil, nil)
		version, _ := strconv.Unquote(answer.ETag)
		present, _ := strconv.ParseUint(version, 10, 64)
		contract := fleet.ContractFor("residents", fleet.APIKey)
		contract.WorkUnitsPerSecond = 9999
		answer = f.Nodes[0].PutContract(contract, lagoonbarrow.ContractVersion(present))
		return answer.Err == nil && answer.Status < http.StatusMultipleChoices && json.Unmarshal(answer.Body, &record) == nil
	})
	accepted := time.Now()
	for _, node := range f.Nodes {
		f.Await(fmt.Sprintf("%s has version %d in force", node.Name, record.Version), inForceLimit, func() bool {
			return node.InForce("residents").Version >= record.Version
		})
	}
	f.t.Logf("%d accepted changes; the last was in force on %d nodes after %s", len(history.accepted), len(f.Nodes), time.Since(accepted).Round(time.Millisecond))
}

func (f *testFleet) checkRegister(history *operations) {
	f.t.Helper()
	result := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history.list, time.Minute)
	if result != porcupine.Ok {
		f.t.Errorf("the contract register's history of %d operations is %s", len(history.list), result)
	}
	seen := map[lagoonbarrow.ContractVersion]bool{}
	for _, change := range history.accepted {
		if seen[change.version] {
			f.t.Errorf("version %d was accepted twice", change.version)
		}
		seen[change.version] = true
	}
}
