package contract

import (
	"context"
	"math/rand/v2"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// pushPeers is the number of random peers that receive a push.
const pushPeers = 4

// announce sends this node's revision to random peers, and those that are behind
// pull. Each node announces once per applied batch. Changes therefore spread
// faster than with membership messages alone, and a node receives each record
// about once.
func (d *Distributor) announce() {
	d.push(nil, false)
}

// push sends new records to random peers. With forward, the receivers push the
// records once more. After that, nodes only announce their revision.
func (d *Distributor) push(records []lagoonbarrow.ContractRecord, forward bool) {
	revision, age, _ := d.Gossip()
	message, err := frame.EncodeMessage(KindPush, pushMessage{
		Revision: revision,
		Age:      age,
		Forward:  forward,
		Records:  limitToMessage(records),
	})
	if err != nil {
		return
	}
	for _, peer := range d.randomPeers() {
		d.submit(func() {
			d.send(peer, message)
		})
	}
}

func (d *Distributor) send(to lagoonbarrow.Address, message lagoonbarrow.Message) {
	ctx, cancel := d.requestContext(context.Background())
	defer cancel()
	d.metrics.pushes.Inc(1)
	_, _ = d.config.Transport.Send(ctx, to, message)
}

// limitToMessage returns the first records that fit into one message. The
// receiver pulls the rest.
func limitToMessage(records []lagoonbarrow.ContractRecord) []lagoonbarrow.ContractRecord {
	total := 0
	for index := range records {
		total += recordSize(records[index])
		if total > maxMessageBytes {
			return records[:index]
		}
	}
	return records
}

func (d *Distributor) randomPeers() []lagoonbarrow.Address {
	self := d.config.Roster.Self().ID
	live := d.config.Roster.Live()
	rand.Shuffle(len(live), func(i, j int) {
		live[i], live[j] = live[j], live[i]
	})
	var peers []lagoonbarrow.Address
	for index := range live {
		if live[index].ID == self || len(peers) == pushPeers {
			continue
		}
		peers = append(peers, live[index].Peer)
	}
	return peers
}

// HandleMessage serves pushes, pulls and status requests of peers.
func (d *Distributor) HandleMessage(_ context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	switch message.Kind {
	case KindPush:
		return d.handlePush(from, message)
	case KindPull:
		return d.handlePull(message)
	case KindStatus:
		return frame.EncodeMessage(KindStatus, d.Status())
	default:
		return lagoonbarrow.Message{}, errUnknownKind(message.Kind)
	}
}

// Status returns the status of the contracts in force on this node.
func (d *Distributor) Status() Status {
	revision, age, _ := d.Gossip()
	return Status{
		Revision: revision,
		Ready:    d.config.Registry.Ready(),
		Age:      age.Round(time.Millisecond),
	}
}

func (d *Distributor) handlePush(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	push, err := decodePush(message)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	applied := d.config.Registry.Apply(push.Records)
	sender, known := d.config.Roster.Lookup(from)
	if known {
		d.HandleGossip(sender, push.Revision, push.Age, true)
	}
	switch {
	case len(applied) > 0 && push.Forward:
		d.push(applied, false)
	case len(applied) > 0:
		d.announce()
	}
	return frame.EncodeMessage(KindPush, d.Status())
}

func (d *Distributor) handlePull(message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	var request pullRequest
	if err := frame.DecodeMessage(message, &request); err != nil {
		return lagoonbarrow.Message{}, err
	}
	revision, age, known := d.Gossip()
	if !known {
		return lagoonbarrow.Message{}, errNotReady
	}
	records, complete := d.config.Registry.Recent(request.After, maxMessageBytes)
	if len(records) > 0 {
		// The registry may have applied more records since the revision was read.
		revision = max(revision, records[len(records)-1].Revision)
	}
	return frame.EncodeMessage(KindPull, pullAnswer{
		Revision: revision,
		Age:      age,
		TooOld:   !complete,
		Records:  records,
	})
}
