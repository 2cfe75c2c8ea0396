package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"lagoonbarrow"
)

// ContractFor returns a contract with every kind of class: at most once, long,
// normal and deferrable. The first path segment selects the class.
func ContractFor(customer lagoonbarrow.CustomerID, key string) lagoonbarrow.Contract {
	keyHash := sha256.Sum256([]byte(key))
	class := func(name, method, importance string, tokens lagoonbarrow.Tokens) lagoonbarrow.Class {
		return lagoonbarrow.Class{
			Name:           lagoonbarrow.ClassName(name),
			Method:         method,
			PathPrefix:     "/" + name,
			ImportanceName: importance,
			WorkUnits:      1,
			Deadline:       lagoonbarrow.Duration(3 * time.Second),
			RetryTokens:    tokens,
		}
	}
	filing := class("filing", "POST", "critical", 3)
	filing.AtMostOnce = true
	archive := class("archive", "GET", "deferrable", 1)
	archive.Long = true
	archive.Deadline = lagoonbarrow.Duration(10 * time.Second)
	return lagoonbarrow.Contract{
		Customer:           customer,
		KeyHashes:          []string{hex.EncodeToString(keyHash[:])},
		WorkUnitsPerSecond: 100000,
		BurstWorkUnits:     100000,
		Classes: []lagoonbarrow.Class{
			filing,
			archive,
			class("lookup", "GET", "normal", 3),
			class("browse", "GET", "deferrable", 1),
		},
	}
}
