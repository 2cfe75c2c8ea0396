package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// shards is the number of parts that a snapshot's maps are split into. A
// change copies the few parts it touches and not the whole table.
const shards = 256

type keyHash [sha256.Size]byte

// snapshot is an immutable state of the contracts in force.
type snapshot struct {
	ready     bool
	revision  lagoonbarrow.Revision
	customers [shards]map[lagoonbarrow.CustomerID]lagoonbarrow.ContractRecord
	keys      [shards]map[keyHash]lagoonbarrow.CustomerID
}

func customerShard(customer lagoonbarrow.CustomerID) uint64 {
	return xxhash.Sum64String(string(customer)) % shards
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

// draft is a snapshot under construction; it copies each part before the first
// change to it.
type draft struct {
	next            snapshot
	copiedCustomers [shards]bool
	copiedKeys      [shards]bool
}

func newDraft(from *snapshot) *draft {
	return &draft{
		next: *from,
	}
}

// set puts a record in force if its revision is higher than the present one.
func (d *draft) set(record lagoonbarrow.ContractRecord) bool {
	present, found := d.next.lookup(record.Customer)
	if found && present.Revision >= record.Revision {
		return false
	}
	if found {
		d.removeKeys(present)
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

// removeKeys leaves hashes alone that meanwhile belong to another customer.
func (d *draft) removeKeys(record lagoonbarrow.ContractRecord) {
	if record.Contract == nil {
		return
	}
	for _, text := range record.Contract.KeyHashes {
		hash, valid := parseKeyHash(text)
		if valid && d.next.keys[hash[0]][hash] == record.Customer {
			delete(d.writableKeys(hash), hash)
		}
	}
}

func (d *draft) writableCustomers(shard uint64) map[lagoonbarrow.CustomerID]lagoonbarrow.ContractRecord {
	if !d.copiedCustomers[shard] {
		d.copiedCustomers[shard] = true
		d.next.customers[shard] = maps.Clone(d.next.customers[shard])
	}
	if d.next.customers[shard] == nil {
		d.next.customers[shard] = map[lagoonbarrow.CustomerID]lagoonbarrow.ContractRecord{}
	}
	return d.next.customers[shard]
}

func (d *draft) writableKeys(hash keyHash) map[keyHash]lagoonbarrow.CustomerID {
	shard := hash[0]
	if !d.copiedKeys[shard] {
		d.copiedKeys[shard] = true
		d.next.keys[shard] = maps.Clone(d.next.keys[shard])
	}
	if d.next.keys[shard] == nil {
		d.next.keys[shard] = map[keyHash]lagoonbarrow.CustomerID{}
	}
	return d.next.keys[shard]
}
