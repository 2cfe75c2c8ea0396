package contract

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// errAgain asks for another attempt at a change.
var errAgain = errors.New("contract: another attempt is needed")

// change is one operator's change over all its attempts.
type change struct {
	id       lagoonbarrow.ChangeID
	customer lagoonbarrow.CustomerID
	// contract is nil to retire.
	contract *lagoonbarrow.Contract
	expected lagoonbarrow.ContractVersion
	// uncertain is set once an attempt's answer was lost.
	uncertain bool
	// since is the head revision before the first attempt; the change row, if
	// there is one, has a higher revision.
	since lagoonbarrow.Revision
}

// state is what one attempt read before it writes.
type state struct {
	row          lagoonbarrow.RowVersion
	found        bool
	record       lagoonbarrow.ContractRecord
	headRevision lagoonbarrow.Revision
	headRow      lagoonbarrow.RowVersion
}

func newChange(customer lagoonbarrow.CustomerID, contract *lagoonbarrow.Contract, expected lagoonbarrow.ContractVersion) *change {
	return &change{
		id:       lagoonbarrow.NewChangeID(),
		customer: customer,
		contract: contract,
		expected: expected,
	}
}

// abandoned is the result when the context ends before a definite one.
func (c *change) abandoned(cause error) error {
	if c.uncertain {
		return errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "contract: change %s: %v", c.id, cause)
	}
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "contract: change %s not accepted: %v", c.id, cause)
}

// failed decides whether an error of the table is a result. As long as an
// earlier attempt may have taken effect, no failure is one.
func (c *change) failed(err error) error {
	if c.uncertain {
		return errAgain
	}
	if errors.Is(err, lagoonbarrow.ErrUnavailable) || errors.Is(err, lagoonbarrow.ErrInvalid) {
		return err
	}
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "contract: read before change: %v", err)
}

func (s *Store) attempt(ctx context.Context, change *change) (lagoonbarrow.ContractRecord, error) {
	present, err := s.readState(ctx, change)
	if err != nil {
		return lagoonbarrow.ContractRecord{}, change.failed(err)
	}
	if present.record.Change == change.id {
		return present.record, nil
	}
	if present.record.Version != change.expected {
		return s.superseded(ctx, change, present)
	}
	if change.contract == nil && present.record.Retired {
		return present.record, errors.Wrap(lagoonbarrow.ErrConflict, "contract: already retired")
	}
	next := change.next(present)
	writes, err := s.writes(ctx, present, next)
	if err != nil {
		return lagoonbarrow.ContractRecord{}, change.failed(err)
	}
	return s.transact(ctx, change, next, writes)
}

func (s *Store) transact(ctx context.Context, change *change, next lagoonbarrow.ContractRecord, writes []lagoonbarrow.Write) (lagoonbarrow.ContractRecord, error) {
	err := s.config.Table.Transact(ctx, writes)
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, lagoonbarrow.ErrConflict):
		return lagoonbarrow.ContractRecord{}, errAgain
	case errors.Is(err, lagoonbarrow.ErrUnavailable), errors.Is(err, lagoonbarrow.ErrInvalid):
		return lagoonbarrow.ContractRecord{}, change.failed(err)
	default:
		// Any other error leaves open whether the transaction took effect.
		change.uncertain = true
		return lagoonbarrow.ContractRecord{}, errAgain
	}
}

// readState reads the contract row after the head row. A change that took
// effect before the head was read is therefore seen in the contract row.
func (s *Store) readState(ctx context.Context, change *change) (state, error) {
	var present state
	var err error
	present.headRevision, present.headRow, err = readHead(ctx, s.config.Table)
	if err != nil {
		return present, err
	}
	if !change.uncertain {
		change.since = present.headRevision
	}
	row, err := s.config.Table.Get(ctx, tableContracts, string(change.customer))
	if errors.Is(err, lagoonbarrow.ErrNotFound) {
		return present, nil
	}
	if err != nil {
		return present, errors.Wrap(err, "contract: read contract")
	}
	present.found = true
	present.row = row.Version
	present.record, err = decodeRecord(row)
	return present, err
}

// superseded settles a change whose expected version is not the present one.
// After a lost answer, the change may have taken effect and been followed by
// another one; then its change row tells.
func (s *Store) superseded(ctx context.Context, change *change, present state) (lagoonbarrow.ContractRecord, error) {
	if change.uncertain {
		record, found, err := s.findChange(ctx, change, present.record.Revision)
		if err != nil {
			return lagoonbarrow.ContractRecord{}, errAgain
		}
		if found {
			return record, nil
		}
	}
	if !present.found && change.contract == nil {
		return lagoonbarrow.ContractRecord{}, errors.Wrap(lagoonbarrow.ErrNotFound, "contract: change")
	}
	return present.record, errors.Wrapf(lagoonbarrow.ErrConflict, "contract: version is %d, not %d",
		present.record.Version, change.expected)
}

// findChange looks for the change's row between the head before its first
// attempt and the revision of the present record. Trimmed change rows leave
// the outcome unknown.
func (s *Store) findChange(ctx context.Context, change *change, last lagoonbarrow.Revision) (lagoonbarrow.ContractRecord, bool, error) {
	after := change.since
	for after < last {
		records, err := readChanges(ctx, s.config.Table, after)
		if err != nil {
			return lagoonbarrow.ContractRecord{}, false, err
		}
		if len(records) == 0 {
			return lagoonbarrow.ContractRecord{}, false, errors.Wrap(lagoonbarrow.ErrOutcomeUnknown, "contract: change rows missing")
		}
		for _, record := range records {
			if record.Change == change.id {
				return record, true, nil
			}
		}
		after = records[len(records)-1].Revision
	}
	return lagoonbarrow.ContractRecord{}, false, nil
}

func (c *change) next(present state) lagoonbarrow.ContractRecord {
	return lagoonbarrow.ContractRecord{
		Customer: c.customer,
		Version:  present.record.Version + 1,
		Revision: present.headRevision + 1,
		Change:   c.id,
		Retired:  c.contract == nil,
		Contract: c.contract,
	}
}

func (s *Store) writes(ctx context.Context, present state, next lagoonbarrow.ContractRecord) ([]lagoonbarrow.Write, error) {
	record, err := encodeRow(next)
	if err != nil {
		return nil, err
	}
	head, err := encodeRow(headRow{
		Revision: next.Revision,
	})
	if err != nil {
		return nil, err
	}
	writes := []lagoonbarrow.Write{
		{
			Table:    tableContracts,
			Key:      string(next.Customer),
			Expected: present.row,
			Value:    record,
		},
		{
			Table:    tableHead,
			Key:      headKey,
			Expected: present.headRow,
			Value:    head,
		},
		{
			Table: tableChanges,
			Key:   changeKey(next.Revision),
			Value: record,
		},
	}
	keys, err := s.keyWrites(ctx, keyHashesOf(present.record), next)
	return append(writes, keys...), err
}

// keyWrites claims the hashes that the change adds and frees those that it
// removes. Kept hashes need no write: their rows change only together with
// this customer's contract row.
func (s *Store) keyWrites(ctx context.Context, before []string, next lagoonbarrow.ContractRecord) ([]lagoonbarrow.Write, error) {
	after := keyHashesOf(next)
	var writes []lagoonbarrow.Write
	var found faults
	for _, hash := range missingFrom(before, after) {
		if err := s.checkFree(ctx, &found, hash, next.Customer); err != nil {
			return nil, err
		}
		value, err := encodeRow(keyRow{
			Customer: next.Customer,
		})
		if err != nil {
			return nil, err
		}
		writes = append(writes, lagoonbarrow.Write{
			Table: tableKeys,
			Key:   hash,
			Value: value,
		})
	}
	for _, hash := range missingFrom(after, before) {
		row, err := s.config.Table.Get(ctx, tableKeys, hash)
		if err != nil {
			return nil, errors.Wrap(err, "contract: read key row")
		}
		writes = append(writes, lagoonbarrow.Write{
			Table:    tableKeys,
			Key:      hash,
			Expected: row.Version,
			Delete:   true,
		})
	}
	return writes, found.err()
}

func (s *Store) checkFree(ctx context.Context, found *faults, hash string, customer lagoonbarrow.CustomerID) error {
	row, err := s.config.Table.Get(ctx, tableKeys, hash)
	if errors.Is(err, lagoonbarrow.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "contract: read key row")
	}
	var owner keyRow
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		return errors.Wrap(err, "contract: decode key row")
	}
	if owner.Customer != customer {
		found.add("key-hashes: %q belongs to customer %q", hash, owner.Customer)
	}
	return nil
}

func keyHashesOf(record lagoonbarrow.ContractRecord) []string {
	if record.Contract == nil {
		return nil
	}
	return record.Contract.KeyHashes
}

// missingFrom returns the hashes of wanted that present lacks.
func missingFrom(present, wanted []string) []string {
	var missing []string
	for _, hash := range wanted {
		if !slices.Contains(present, hash) {
			missing = append(missing, hash)
		}
	}
	return missing
}
