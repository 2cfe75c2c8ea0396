package model

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/admission"
)

const (
	// stepInterval is the interval between control steps of a gate with the default window.
	stepInterval = admission.DefaultWindow / 10
	// cancelTime is how long a preempted call takes to free its slot.
	cancelTime = time.Millisecond
	// retryDelay is how long a caller waits before it sends a refused call again.
	retryDelay = 10 * time.Millisecond
	// maxCriticalWait is how long critical work may wait before it must get the slots of
	// other work: the target delay, a control step and some margin.
	maxCriticalWait = 50 * time.Millisecond
)

// Simulation drives a gate. The exported fields may be set before Run.
type Simulation struct {
	*Loop
	Gate  *admission.Gate
	Slots int
	// Slowdown returns a factor for service times. Optional.
	Slowdown func(source *Source, running int) float64
	// CallDownstream makes a call's downstream calls after its service time and then runs
	// rest. Optional.
	CallDownstream func(permit lagoonbarrow.Permit, rest func())
	// Entry refuses calls before they reach the gate. Optional.
	Entry *Entry
	// Retries is how often a refused call is sent again.
	Retries int
	// CountFrom is the time since the start from which calls are counted.
	CountFrom time.Duration
	// Observe is called after each control step. Optional.
	Observe func()

	// Outcomes has the outcome of each source by its name.
	Outcomes map[string]*Outcome
	// UsefulSlotTime is the slot time of the calls that ended before their deadline. Its
	// fraction of all slot time is the goodput, without the noise of random service times.
	UsefulSlotTime time.Duration
	// PriorityInversions counts critical calls that were shed although less important work
	// was admitted after they had waited maxCriticalWait or within the control step before.
	PriorityInversions int

	random          *rand.Rand
	lastNonCritical time.Time
}

// Outcome has the results of the calls of one source.
type Outcome struct {
	Offered, Done, Late, Refused int
	// Waits are the queueing delays, Totals the times from arrival to answer.
	Waits, Totals []time.Duration
}

// P99 returns the 99th percentile, or 0 if there are no values. It sorts values in place.
func P99(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*99/100]
}

// New returns a simulation of a gate with the given config, whose clock it replaces.
func New(seed uint64, config admission.Config) (*Simulation, error) {
	loop := NewLoop()
	config.Clock = loop
	gate, err := admission.New(config)
	if err != nil {
		return nil, err
	}
	return &Simulation{
		Loop:     loop,
		Gate:     gate,
		Slots:    config.Slots,
		Outcomes: map[string]*Outcome{},
		random:   rand.New(rand.NewPCG(seed, 0)),
	}, nil
}

// Run offers the sources' calls for the given time.
func (s *Simulation) Run(length time.Duration, sources ...*Source) {
	for _, source := range sources {
		s.Outcomes[source.Name] = &Outcome{}
		s.scheduleArrival(source)
	}
	s.scheduleStep()
	s.Loop.Run(length)
}

func (s *Simulation) scheduleStep() {
	s.After(stepInterval, func() {
		s.Gate.Step()
		if s.Observe != nil {
			s.Observe()
		}
		s.scheduleStep()
	})
}

func (s *Simulation) scheduleArrival(source *Source) {
	rate := source.Rate(s.Since())
	if rate <= 0 {
		s.After(stepInterval, func() {
			s.scheduleArrival(source)
		})
		return
	}
	s.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.startCall(source)
		s.scheduleArrival(source)
	})
}

// call is one simulated call, including its retries.
type call struct {
	source    *Source
	outcome   *Outcome
	priority  lagoonbarrow.Priority
	arrived   time.Time
	retries   int
	preempted bool
}

func (s *Simulation) startCall(source *Source) {
	c := &call{
		source:   source,
		outcome:  &Outcome{},
		priority: lagoonbarrow.NewPriority(source.Level, s.random.Uint64()),
		retries:  s.Retries,
	}
	if s.Since() >= s.CountFrom {
		c.outcome = s.Outcomes[source.Name]
	}
	c.outcome.Offered++
	if s.Entry != nil && s.Entry.refuses(s.Now(), c.priority) {
		c.outcome.Refused++
		return
	}
	s.offer(c)
}

func (s *Simulation) offer(c *call) {
	c.arrived = s.Now()
	work := lagoonbarrow.Work{
		Priority:  c.priority,
		Long:      c.source.Long,
		Deadline:  c.arrived.Add(c.source.Deadline),
		Operation: c.source.Name,
	}
	// The gate runs the callbacks under its lock, so the reactions are scheduled as events.
	s.Gate.Offer(work, func(permit lagoonbarrow.Permit, err error) {
		s.After(0, func() {
			s.handleDecision(c, permit, err)
		})
	}, func(permit lagoonbarrow.Permit) {
		c.preempted = true
		s.After(cancelTime, func() {
			permit.Release(false)
		})
	})
}

func (s *Simulation) handleDecision(c *call, permit lagoonbarrow.Permit, err error) {
	if s.Entry != nil {
		s.Entry.update(s.Now(), s.Gate.Threshold())
	}
	switch {
	case err == nil:
		s.serve(c, permit)
	case c.retries > 0:
		c.retries--
		s.After(retryDelay, func() {
			s.offer(c)
		})
	default:
		s.recordRefusal(c, err)
	}
}

func (s *Simulation) recordRefusal(c *call, err error) {
	c.outcome.Refused++
	if c.source.Level < lagoonbarrow.ImportanceCritical || !errors.Is(err, lagoonbarrow.ErrShed) {
		return
	}
	admittedSince := s.lastNonCritical.After(c.arrived.Add(maxCriticalWait))
	if admittedSince || s.Now().Sub(s.lastNonCritical) < stepInterval {
		s.PriorityInversions++
	}
}

func (s *Simulation) serve(c *call, permit lagoonbarrow.Permit) {
	if c.source.Level < lagoonbarrow.ImportanceCritical {
		s.lastNonCritical = s.Now()
	}
	c.outcome.Waits = append(c.outcome.Waits, s.Now().Sub(c.arrived))
	service := c.source.Service(s.random)
	if s.Slowdown != nil {
		service = time.Duration(float64(service) * s.Slowdown(c.source, s.Gate.Load().Running))
	}
	complete := func() {
		s.complete(c, permit, service)
	}
	s.After(service, func() {
		if s.CallDownstream != nil {
			s.CallDownstream(permit, complete)
			return
		}
		complete()
	})
}

func (s *Simulation) complete(c *call, permit lagoonbarrow.Permit, service time.Duration) {
	if c.preempted {
		return
	}
	permit.Release(true)
	total := s.Now().Sub(c.arrived)
	c.outcome.Totals = append(c.outcome.Totals, total)
	if total > c.source.Deadline {
		c.outcome.Late++
		return
	}
	c.outcome.Done++
	if s.Since() >= s.CountFrom {
		s.UsefulSlotTime += service
	}
}
