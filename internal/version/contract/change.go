package contract

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// errRetry reports that the change needs another attempt.
var errRetry = errors.New("contract: another attempt is needed")

// change is one operator's change over all its attempts.
type change struct {
	id       lagoonbarrow.ChangeID
	customer lagoonbarrow.CustomerID
	// contract is nil to retire the contract.
	contract *lagoonbarrow.Contract
	expected lagoonbarrow.ContractVersion
	// uncertain is set once an attempt's answer was lost.
	uncertain bool
	// startRevision is the head revision before the first attempt whose answer was
	// lost. The change row, if it exists, has a higher revision.
	startRevision lagoonbarrow.Revision
}

// storedState holds what an attempt reads from the table before it writes.
type storedState struct {
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

// contextError returns the error for a context that ends before the outcome of
// the change is known.
func (c *change) contextError(cause error) error {
	if c.uncertain {
		return errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "contract: change %s: %v", c.id, cause)
	}
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "contract: change %s not accepted: %v", c.id, cause)
}

// classifyError returns errRetry if an earlier attempt may have taken effect,
// because a later failure does not show whether the change was accepted. Otherwise
// it returns the error as the result of the change.
func (c *change) classifyError(err error) error {
	if c.uncertain {
		return errRetry
	}
	if errors.Is(err, lagoonbarrow.ErrUnavailable) || errors.Is(err, lagoonbarrow.ErrInvalid) {
		return err
	}
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "contract: read before change: %v", err)
}

func (s *Store) attempt(ctx context.Context, change *change) (lagoonbarrow.ContractRecord, error) {
	current, err := s.readState(ctx, change)
	if err != nil {
		return lagoonbarrow.ContractRecord{}, change.classifyError(err)
	}
	if current.record.Change == change.id {
		return current.record, nil
	}
	if current.record.Version != change.expected {
		return s.resolveVersionMismatch(ctx, change, current)
	}
	if change.contract == nil && current.record.Retired {
		return current.record, errors.Wrap(lagoonbarrow.ErrConflict, "contract: already retired")
	}
	next := change.newRecord(current)
	writes, err := s.buildWrites(ctx, current, next)
	if err != nil {
		return lagoonbarrow.ContractRecord{}, change.classifyError(err)
	}
	return s.transact(ctx, change, next, writes)
}

func (s *Store) transact(ctx context.Context, change *change, next lagoonbarrow.ContractRecord, writes []lagoonbarrow.Write) (lagoonbarrow.ContractRecord, error) {
	err := s.config.Table.Transact(ctx, writes)
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, lagoonbarrow.ErrConflict):
		return lagoonbarrow.ContractRecord{}, errRetry
	case errors.Is(err, lagoonbarrow.ErrUnavailable), errors.Is(err, lagoonbarrow.ErrInvalid):
		return lagoonbarrow.ContractRecord{}, change.classifyError(err)
	default:
		// Any other error leaves open whether the transaction took effect.
		change.uncertain = true
		return lagoonbarrow.ContractRecord{}, errRetry
	}
}

// readState reads the head row before the contract row. The contract row then
// includes every change that took effect before the head was read.
func (s *Store) readState(ctx context.Context, change *change) (storedState, error) {
	var current storedState
	var err error
	current.headRevision, current.headRow, err = readHead(ctx, s.config.Table)
	if err != nil {
		return current, err
	}
	if !change.uncertain {
		change.startRevision = current.headRevision
	}
	row, err := s.config.Table.Get(ctx, tableContracts, string(change.customer))
	if errors.Is(err, lagoonbarrow.ErrNotFound) {
		return current, nil
	}
	if err != nil {
		return current, errors.Wrap(err, "contract: read contract")
	}
	current.found = true
	current.row = row.Version
	current.record, err = decodeRecord(row)
	return current, err
}

// resolveVersionMismatch returns the result of a change whose expected version is
// not the current one. After a lost answer, the change may have taken effect
// before a later one replaced it. Its change row shows whether it did.
func (s *Store) resolveVersionMismatch(ctx context.Context, change *change, current storedState) (lagoonbarrow.ContractRecord, error) {
	if change.uncertain {
		record, found, err := s.findChange(ctx, change, current.record.Revision)
		if err != nil {
			return lagoonbarrow.ContractRecord{}, errRetry
		}
		if found {
			return record, nil
		}
	}
	if !current.found && change.contract == nil {
		return lagoonbarrow.ContractRecord{}, errors.Wrap(lagoonbarrow.ErrNotFound, "contract: change")
	}
	return current.record, errors.Wrapf(lagoonbarrow.ErrConflict, "contract: version is %d, not %d",
		current.record.Version, change.expected)
}

// findChange searches for the change's row between startRevision and the revision
// of the current record. If change rows were trimmed, the outcome remains unknown.
func (s *Store) findChange(ctx context.Context, change *change, last lagoonbarrow.Revision) (lagoonbarrow.ContractRecord, bool, error) {
	after := change.startRevision
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

func (c *change) newRecord(current storedState) lagoonbarrow.ContractRecord {
	return lagoonbarrow.ContractRecord{
		Customer: c.customer,
		Version:  current.record.Version + 1,
		Revision: current.headRevision + 1,
		Change:   c.id,
		Retired:  c.contract == nil,
		Contract: c.contract,
	}
}

func (s *Store) buildWrites(ctx context.Context, current storedState, next lagoonbarrow.ContractRecord) ([]lagoonbarrow.Write, error) {
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
			Expected: current.row,
			Value:    record,
		},
		{
			Table:    tableHead,
			Key:      headKey,
			Expected: current.headRow,
			Value:    head,
		},
		{
			Table: tableChanges,
			Key:   changeKey(next.Revision),
			Value: record,
		},
	}
	keys, err := s.keyWrites(ctx, keyHashes(current.record), next)
	return append(writes, keys...), err
}

// keyWrites creates rows for the hashes that the change adds and deletes the rows
// of those that it removes. Unchanged hashes need no write, because their rows
// change only together with this customer's contract row.
func (s *Store) keyWrites(ctx context.Context, oldHashes []string, next lagoonbarrow.ContractRecord) ([]lagoonbarrow.Write, error) {
	newHashes := keyHashes(next)
	var writes []lagoonbarrow.Write
	var faults faultList
	for _, hash := range missingFrom(oldHashes, newHashes) {
		if err := s.checkHashAvailable(ctx, &faults, hash, next.Customer); err != nil {
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
	for _, hash := range missingFrom(newHashes, oldHashes) {
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
	return writes, faults.err()
}

// checkHashAvailable adds a fault if the hash belongs to another customer.
func (s *Store) checkHashAvailable(ctx context.Context, faults *faultList, hash string, customer lagoonbarrow.CustomerID) error {
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
		faults.add("key-hashes: %q belongs to customer %q", hash, owner.Customer)
	}
	return nil
}

func keyHashes(record lagoonbarrow.ContractRecord) []string {
	if record.Contract == nil {
		return nil
	}
	return record.Contract.KeyHashes
}

// missingFrom returns the hashes of wanted that are not in existing.
func missingFrom(existing, wanted []string) []string {
	var missing []string
	for _, hash := range wanted {
		if !slices.Contains(existing, hash) {
			missing = append(missing, hash)
		}
	}
	return missing
}
