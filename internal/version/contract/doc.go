// Package contract validates contracts, stores them in the platform's table
// service, holds the contracts in force on a node, and distributes changes
// between nodes.
//
// # Store
//
// A change is one transaction that writes the customer's row in "contracts", the
// head row, a new row in "contract-changes", and rows in "contract-keys". Each
// API key hash in use has one key row. A key row is created only if it does not
// exist, so a hash belongs to one customer even when operators change contracts
// concurrently. A change or retirement deletes the rows of the hashes that it
// removes, and other customers can then use them. Unchanged hashes need no
// write, because their rows change only together with this customer's row.
//
// All attempts at a change carry one change ID and depend on one version of the
// customer's row, so at most one of them takes effect, however late it arrives.
// After a lost answer, the store reads the row to find the outcome, or the change
// rows if a later change has replaced it. Once an answer was lost, a failure is
// never reported as "not accepted". A tombstone counts as the current version, so
// a creation that is sent twice cannot restore a retired contract.
//
// # Registry and distribution
//
// A node's revision R means that all changes up to R are in force on it. Change
// records are applied only without a gap. A complete state replaces the current
// one only if it is newer. A node also keeps the time up to which it has all
// accepted changes. This time advances only after a read from the platform, or
// with a peer's age at a revision that this node has reached.
//
// The initial load reads the head, scans the contracts and reads the head again.
// The change rows between the two heads add what changed during the scan. If
// change rows are missing because they were trimmed, the scan is repeated.
package contract
