package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// shardCount is the number of shards of each map in a snapshot. A change copies
// only the shards that it modifies.
const shardCount = 256

type keyHash [sha256.Size]byte

// snapshot is an immutable state of the contracts in force.
type snapshot struct {
	ready     bool
	revision  lagoonbarrow.Revision
	customers [shardCount]map[lagoonbarrow.CustomerID]lagoonbarrow.ContractRecord
	keys      [shardCount]map[keyHash]lagoonbarrow.CustomerID
}

func customerShard(customer lagoonbarrow.CustomerID) uint64 {
	return xxhash.Sum64String(string(customer)) % shardCount
}

func (s *snapshot) lookup(customer lagoonbarrow.CustomerID) (lagoonbarrow.ContractRecord, bool) {
	record, found := s.customers[customerShard(customer)][customer]
	return record, found
}

func (s *snapshot) byKey(hash keyHash) (lagoonbarrow.ContractRecord, bool) {
	customer, found := s.keys[hash[0]][hash]
	if !found {
		return lagoonbarrow.ContractRecord{}, false
	}
	return s.lookup(customer)
}

func parseKeyHash(text string) (keyHash, bool) {
	var hash keyHash
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, err == nil
}

// draft is a snapshot under construction. It copies each shard before the first
// change to it.
type draft struct {
	snapshot        snapshot
	copiedCustomers [shardCount]bool
	copiedKeys      [shardCount]bool
}

func newDraft(from *snapshot) *draft {
	return &draft{
		snapshot: *from,
	}
}

// set replaces the record of the customer if the new revision is higher. It
// reports whether it did.
func (d *draft) set(record lagoonbarrow.ContractRecord) bool {
	current, found := d.snapshot.lookup(record.Customer)
	if found && current.Revision >= record.Revision {
		return false
	}
	if found {
		d.removeKeys(current)
	}
	shard := customerShard(record.Customer)
	d.writableCustomers(shard)[record.Customer] = record
	d.addKeys(record)
	return true
}

func (d *draft) addKeys(record lagoonbarrow.ContractRecord) {
	if record.Contract == nil {
		return
	}
	for _, text := range record.Contract.KeyHashes {
		if hash, valid := parseKeyHash(text); valid {
			d.writableKeys(hash)[hash] = record.Customer
		}
	}
}

// removeKeys removes the hashes of the record, except those that now belong to
// another customer.
func (d *draft) removeKeys(record lagoonbarrow.ContractRecord) {
	if record.Contract == nil {
		return
	}
	for _, text := range record.Contract.KeyHashes {
		hash, valid := parseKeyHash(text)
		if valid && d.snapshot.keys[hash[0]][hash] == record.Customer {
			delete(d.writableKeys(hash), hash)
		}
	}
}

func (d *draft) writableCustomers(shard uint64) map[lagoonbarrow.CustomerID]lagoonbarrow.ContractRecord {
	if !d.copiedCustomers[shard] {
		d.copiedCustomers[shard] = true
		d.snapshot.customers[shard] = maps.Clone(d.snapshot.customers[shard])
	}
	if d.snapshot.customers[shard] == nil {
		d.snapshot.customers[shard] = map[lagoonbarrow.CustomerID]lagoonbarrow.ContractRecord{}
	}
	return d.snapshot.customers[shard]
}

func (d *draft) writableKeys(hash keyHash) map[keyHash]lagoonbarrow.CustomerID {
	shard := hash[0]
	if !d.copiedKeys[shard] {
		d.copiedKeys[shard] = true
		d.snapshot.keys[shard] = maps.Clone(d.snapshot.keys[shard])
	}
	if d.snapshot.keys[shard] == nil {
		d.snapshot.keys[shard] = map[keyHash]lagoonbarrow.CustomerID{}
	}
	return d.snapshot.keys[shard]
}
