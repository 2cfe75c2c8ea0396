package quota

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/pkg/event"
)

// messageTimeout bounds one message to a keeper.
const messageTimeout = 400 * time.Millisecond

// run sends the messages of one group, one at a time. Requests that arrive while a message is
// in flight join the next one.
func (l *Limits) run(ctx context.Context, number int) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wakes[number]:
		}
		timer.Reset(l.exchange(ctx, number))
	}
}

// exchange sends one message of a group if there is a customer with a limit, and returns the
// time until the next one.
func (l *Limits) exchange(ctx context.Context, number int) time.Duration {
	l.mu.Lock()
	l.updateConfiguration()
	if l.node.groups[number].limited == 0 {
		l.mu.Unlock()
		return refreshInterval
	}
	l.updateMembers()
	now := l.clock.read()
	sent, found := l.node.next(now, number)
	if !found {
		l.mu.Unlock()
		return noKeeperDelay
	}
	probe, probes := l.node.probe(now, number)
	l.mu.Unlock()
	if probes && !l.probing[number].Swap(true) {
		l.task.Go("keeper probe", func(ctx context.Context) {
			defer l.probing[number].Store(false)
			l.deliver(ctx, probe)
		})
	}
	return l.deliver(ctx, sent)
}

// deliver sends a message and applies the reply. It returns the time until the next one.
func (l *Limits) deliver(ctx context.Context, sent outgoing) time.Duration {
	reply, err := l.send(ctx, sent)
	if err != nil {
		return l.fail(ctx, sent, err)
	}
	if reply.Version != sent.message.Version {
		l.config.ObserveVersion(reply.Version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.read()
	delay, refused := l.node.receive(now, sent, reply)
	for i := range refused {
		for _, waiting := range refused[i].requests {
			waiting.done <- l.refuse(now.fast, refused[i].customer, refused[i].held)
		}
	}
	return delay
}

// updateMembers reads the members again after a change. The caller holds the mutex.
func (l *Limits) updateMembers() {
	if !l.membersChanged.Swap(false) {
		return
	}
	members := l.node.setMembers(l.config.Members())
	l.keeping.Lock()
	l.keeper.setMembers(l.clock.read(), members)
	l.keeping.Unlock()
}

// send sends a message to a keeper, which may be this node.
func (l *Limits) send(ctx context.Context, sent outgoing) (*tokenReply, error) {
	l.metrics.messages.Inc(1)
	if sent.to.ID == l.config.Self {
		return l.handle(sent.to.ID, sent.message), nil
	}
	encoded, err := frame.EncodeMessage(KindCustomerTokens, sent.message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	reply, err := l.config.Sender.Send(ctx, sent.to.Peer, encoded)
	if err != nil {
		return nil, err
	}
	return decodeTokenReply(reply)
}

// fail notes that a message got no reply, and returns the time until the next one.
func (l *Limits) fail(ctx context.Context, sent outgoing, err error) time.Duration {
	if ctx.Err() != nil {
		return refreshInterval
	}
	l.mu.Lock()
	failed := l.node.fail(l.clock.read(), sent, failureOf(err))
	l.mu.Unlock()
	if !failed {
		l.config.Logger.Debug("a message to the keeper of a group of customers failed", "keeper", sent.to.ID, "error", err)
		return retryDelay
	}
	l.metrics.failedKeepers.Inc(1)
	l.recordEvent(event.KeeperFailed, event.Fields{
		Peer:   string(sent.to.ID),
		Detail: string(groupKeys[sent.message.Group]) + ": " + err.Error(),
	})
	return retryDelay
}

// failureOf returns what an error says about the keeper.
func failureOf(err error) failure {
	var network net.Error
	switch {
	case errors.Is(err, lagoonbarrow.ErrShed):
		return failureLocal
	case errors.Is(err, syscall.ECONNREFUSED):
		return failureRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return failureTimeout
	case errors.Is(err, lagoonbarrow.ErrNotSent):
		return failureConnect
	default:
		return failureTimeout
	}
}

// Kinds returns the kinds of messages that the limits serve.
func (l *Limits) Kinds() []string {
	return []string{KindCustomerTokens}
}

// HandleMessage serves the message of another node to this keeper.
func (l *Limits) HandleMessage(_ context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	received, err := decodeTokenRequest(message)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	return frame.EncodeMessage(KindCustomerTokens, l.handle(from, received))
}

// handle serves a message as the keeper.
func (l *Limits) handle(from lagoonbarrow.InstanceID, received *tokenRequest) *tokenReply {
	if current := l.config.Configuration(); current != nil && received.Version > current.Version {
		l.config.ObserveVersion(received.Version)
	}
	if l.membersChanged.Load() {
		l.refreshMembers()
	}
	l.keeping.Lock()
	defer l.keeping.Unlock()
	now := l.clock.read()
	if current := l.config.Configuration(); current != nil && current.Version != l.keptVersion {
		l.keptVersion = current.Version
		l.keeper.configure(now, limitsIn(current))
	}
	reply := l.keeper.handle(now, from, received)
	reply.Version = l.keptVersion
	for i := range reply.Entries {
		l.metrics.granted.Inc(int64(reply.Entries[i].Granted))
	}
	l.metrics.votes.Update(float64(l.keeper.votesHeld()))
	return reply
}

// refreshMembers reads the members again after a change.
func (l *Limits) refreshMembers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateMembers()
}
