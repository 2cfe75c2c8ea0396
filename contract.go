package lagoonbarrow

import "time"

// Contract defines how much work a customer may request and the importance of
// its requests. Every limit in force is derived from the contracts.
type Contract struct {
	Customer CustomerID `json:"customer"`
	// KeyHashes are the lower-case hex SHA-256 sums of the customer's API keys.
	KeyHashes []string `json:"key-hashes"`
	// WorkUnitsPerSecond is the work that all nodes together admit for the customer.
	WorkUnitsPerSecond WorkUnits `json:"work-units-per-second"`
	// BurstWorkUnits is the work that may be admitted in one burst.
	BurstWorkUnits WorkUnits `json:"burst-work-units"`
	// Classes are matched in order. The first match applies.
	Classes []Class `json:"classes"`
}

// Class is a kind of request within a contract.
type Class struct {
	Name ClassName `json:"name"`
	// Method is an HTTP method, or empty for any.
	Method string `json:"method,omitempty"`
	// PathPrefix matches the start of the request path.
	PathPrefix string `json:"path-prefix"`
	// ImportanceName is "critical", "normal" or "deferrable".
	ImportanceName string `json:"importance"`
	// WorkUnits is the cost of one request.
	WorkUnits WorkUnits `json:"work-units"`
	// Deadline is the time within which an answer is of use.
	Deadline Duration `json:"deadline"`
	// RetryTokens bounds the additional attempts over the whole call chain.
	RetryTokens Tokens `json:"retry-tokens"`
	// Long marks requests that take many times longer than the rest.
	Long bool `json:"long,omitempty"`
	// AtMostOnce marks non-idempotent requests. They need an Idempotency-Key header.
	AtMostOnce bool `json:"at-most-once,omitempty"`
}

// Importance returns the class's level of importance, or ImportanceNone for an unknown name.
func (c *Class) Importance() Importance {
	switch c.ImportanceName {
	case "critical":
		return ImportanceCritical
	case "normal":
		return ImportanceNormal
	case "deferrable":
		return ImportanceDeferrable
	default:
		return ImportanceNone
	}
}

// ContractRecord is a contract version as stored in the platform's table. A
// retired record stays as a tombstone, which keeps an older version from
// coming into force again.
type ContractRecord struct {
	Customer CustomerID      `json:"customer" msgpack:"customer"`
	Version  ContractVersion `json:"version" msgpack:"version"`
	Revision Revision        `json:"revision" msgpack:"revision"`
	Change   ChangeID        `json:"change-id" msgpack:"change-id"`
	Retired  bool            `json:"retired" msgpack:"retired"`
	// Contract is nil for a retired record.
	Contract *Contract `json:"contract,omitempty" msgpack:"contract"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration in time.Duration's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads time.Duration's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}
