package sidecar

import (
	"fmt"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// storeRestored records that the platform's store has come back from an older copy, and
// checks what only this node's processes can write again.
func (s *Sidecar) storeRestored(previous, current lagoonbarrow.Era) {
	s.timeline.Record(event.StoreRestored, event.Fields{
		Detail: fmt.Sprintf("era=%d previous=%d", current, previous),
	})
	s.restores.Go("check after a restore", s.peerKey.keep)
}
