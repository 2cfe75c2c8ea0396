// Package contract holds the contract model's checks, the store of contracts
// in the platform's table, the table of contracts in force on a node, and the
// distribution of changes between nodes.
package contract
