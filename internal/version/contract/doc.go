// Package contract holds the contract model's checks, the store of contracts
// in the platform's table, the table of contracts in force on a node, and the
// distribution of changes between nodes.
//
// # Store
//
// A change is one transaction of the customer's row in "contracts", the head
// row, a new row in "contract-changes", and rows in "contract-keys". There is
// one key row per API key hash in use; as it is created only if it does not
// exist, a hash belongs to one customer, also when operators race. A change or
// retirement deletes the rows of the hashes it drops, so that others may take
// them. Hashes that are kept need no write, because their rows change only
// together with this customer's row.
//
// All attempts at a change carry one change id and depend on one version of the
// customer's row, so at most one of them takes effect, however late it arrives.
// A lost answer is settled by reading the row, or the change rows when a later
// change has replaced it. Once an answer was lost, a failure is never reported
// as "not accepted". A tombstone counts as the present version: a creation that
// is sent twice can't bring a retired contract back.
//
// # Registry and distribution
//
// A node's revision R means that all changes up to R are in force on it. Change
// records are applied only without a gap; a state that is loaded as a whole is
// taken only if it is newer. Beside the revision, a node keeps a time up to
// which it missed no accepted change. It becomes younger only by a read of the
// platform, or by a peer's age at a revision that this node has reached.
//
// The initial load reads the head, scans the contracts and reads the head
// again; the change rows between both heads complete what changed during the
// scan. Missing change rows, which may be trimmed, lead to another scan.
package contract
