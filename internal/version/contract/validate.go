package contract

import (
	"fmt"
	"math"
	"strings"
	"time"

	"lagoonbarrow"
)

// Bounds on the parts of a contract. With these, a record is well below the frame
// limit of 256 KiB and a change fits into one table transaction.
const (
	MaxKeyHashes     = 16
	MaxClasses       = 64
	MaxNameBytes     = 64
	MaxCustomerBytes = 128
	MaxPrefixBytes   = 512
	MaxRetryTokens   = lagoonbarrow.Tokens(100)
	MaxDeadline      = 24 * time.Hour
	MaxWorkUnits     = lagoonbarrow.WorkUnits(1e9)
	keyHashHexLength = 64
)

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// InvalidError lists all faults of a contract. It wraps lagoonbarrow.ErrInvalid.
type InvalidError struct {
	Faults []string
}

// Error lists all faults.
func (e *InvalidError) Error() string {
	return "contract: " + lagoonbarrow.ErrInvalid.Error() + ": " + strings.Join(e.Faults, "; ")
}

// Unwrap returns lagoonbarrow.ErrInvalid.
func (e *InvalidError) Unwrap() error {
	return lagoonbarrow.ErrInvalid
}

// faultList collects the faults of a contract.
type faultList []string

func (f *faultList) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

func (f faultList) err() error {
	if len(f) == 0 {
		return nil
	}
	return &InvalidError{
		Faults: f,
	}
}

// Validate returns an *InvalidError that lists all faults of the contract, or nil
// if it has none.
func Validate(contract lagoonbarrow.Contract) error {
	var faults faultList
	checkCustomer(&faults, contract.Customer)
	checkKeyHashes(&faults, contract.KeyHashes)
	checkRates(&faults, contract)
	checkClasses(&faults, contract)
	return faults.err()
}

// ValidCustomer reports whether the string is a valid customer ID. Slashes are
// not allowed because the ID is a part of the keys of claim rows.
func ValidCustomer(customer lagoonbarrow.CustomerID) bool {
	return validName(string(customer), MaxCustomerBytes)
}

func validName(name string, limit int) bool {
	if name == "" || len(name) > limit {
		return false
	}
	for _, character := range []byte(name) {
		if !validNameByte(character) {
			return false
		}
	}
	return name != "." && name != ".."
}

func validNameByte(character byte) bool {
	switch {
	case character >= 'a' && character <= 'z':
		return true
	case character >= 'A' && character <= 'Z':
		return true
	case character >= '0' && character <= '9':
		return true
	default:
		return character == '-' || character == '_' || character == '.'
	}
}

func checkCustomer(faults *faultList, customer lagoonbarrow.CustomerID) {
	if ValidCustomer(customer) {
		return
	}
	faults.add("customer %q: must be 1 to %d letters, digits, '-', '_' or '.'", customer, MaxCustomerBytes)
}

func checkKeyHashes(faults *faultList, hashes []string) {
	if len(hashes) == 0 {
		faults.add("key-hashes: none given")
	}
	if len(hashes) > MaxKeyHashes {
		faults.add("key-hashes: %d given, at most %d are allowed", len(hashes), MaxKeyHashes)
		return
	}
	seen := map[string]bool{}
	for _, hash := range hashes {
		if !validKeyHash(hash) {
			faults.add("key-hashes: %q is not a lower-case hex SHA-256 sum", hash)
		}
		if seen[hash] {
			faults.add("key-hashes: %q is given twice", hash)
		}
		seen[hash] = true
	}
}

func validKeyHash(hash string) bool {
	if len(hash) != keyHashHexLength {
		return false
	}
	for _, character := range []byte(hash) {
		digit := character >= '0' && character <= '9'
		letter := character >= 'a' && character <= 'f'
		if !digit && !letter {
			return false
		}
	}
	return true
}

func checkRates(faults *faultList, contract lagoonbarrow.Contract) {
	checkUnits(faults, "work-units-per-second", contract.WorkUnitsPerSecond)
	checkUnits(faults, "burst-work-units", contract.BurstWorkUnits)
}

func checkUnits(faults *faultList, field string, units lagoonbarrow.WorkUnits) {
	value := float64(units)
	switch {
	case math.IsNaN(value) || math.IsInf(value, 0):
		faults.add("%s: not a finite number", field)
	case units < 0:
		faults.add("%s: %v is negative", field, units)
	case units > MaxWorkUnits:
		faults.add("%s: %v is above %v", field, units, MaxWorkUnits)
	}
}

func checkClasses(faults *faultList, contract lagoonbarrow.Contract) {
	if len(contract.Classes) == 0 {
		faults.add("classes: none given")
	}
	if len(contract.Classes) > MaxClasses {
		faults.add("classes: %d given, at most %d are allowed", len(contract.Classes), MaxClasses)
		return
	}
	seen := map[lagoonbarrow.ClassName]bool{}
	for index := range contract.Classes {
		class := &contract.Classes[index]
		if seen[class.Name] {
			faults.add("class %q: the name is used twice", class.Name)
		}
		seen[class.Name] = true
		checkClass(faults, class, contract.BurstWorkUnits)
		checkReachable(faults, contract.Classes[:index], class)
	}
}

func checkClass(faults *faultList, class *lagoonbarrow.Class, burst lagoonbarrow.WorkUnits) {
	if !validName(string(class.Name), MaxNameBytes) {
		faults.add("class %q: the name must be 1 to %d letters, digits, '-', '_' or '.'", class.Name, MaxNameBytes)
	}
	if !validMethod(class.Method) {
		faults.add("class %q: unknown method %q", class.Name, class.Method)
	}
	if !validPrefix(class.PathPrefix) {
		faults.add("class %q: path-prefix %q must start with '/' and hold at most %d printable characters",
			class.Name, class.PathPrefix, MaxPrefixBytes)
	}
	if class.Importance() == lagoonbarrow.ImportanceNone {
		faults.add("class %q: unknown importance %q", class.Name, class.ImportanceName)
	}
	checkClassWork(faults, class, burst)
	checkClassLimits(faults, class)
}

// checkClassWork rejects classes without a cost, which would not be limited, and
// classes whose cost exceeds a full bucket, which would never be admitted.
func checkClassWork(faults *faultList, class *lagoonbarrow.Class, burst lagoonbarrow.WorkUnits) {
	checkUnits(faults, fmt.Sprintf("class %q: work-units", class.Name), class.WorkUnits)
	if class.WorkUnits == 0 {
		faults.add("class %q: work-units is 0", class.Name)
	}
	if class.WorkUnits > burst && burst >= 0 {
		faults.add("class %q: work-units %v is above burst-work-units %v", class.Name, class.WorkUnits, burst)
	}
}

func checkClassLimits(faults *faultList, class *lagoonbarrow.Class) {
	deadline := time.Duration(class.Deadline)
	if deadline < 0 {
		faults.add("class %q: deadline %v is negative", class.Name, deadline)
	}
	if deadline > MaxDeadline {
		faults.add("class %q: deadline %v is above %v", class.Name, deadline, MaxDeadline)
	}
	if deadline == 0 && class.Importance() == lagoonbarrow.ImportanceCritical {
		faults.add("class %q: a critical class needs a deadline", class.Name)
	}
	if class.RetryTokens < 0 {
		faults.add("class %q: retry-tokens %d is negative", class.Name, class.RetryTokens)
	}
	if class.RetryTokens > MaxRetryTokens {
		faults.add("class %q: retry-tokens %d is above %d", class.Name, class.RetryTokens, MaxRetryTokens)
	}
	if class.AtMostOnce && class.Long {
		faults.add("class %q: an at-most-once class can't be long", class.Name)
	}
}

func checkReachable(faults *faultList, earlier []lagoonbarrow.Class, class *lagoonbarrow.Class) {
	for index := range earlier {
		other := &earlier[index]
		sameMethod := other.Method == "" || other.Method == class.Method
		if sameMethod && strings.HasPrefix(class.PathPrefix, other.PathPrefix) {
			faults.add("class %q: never matched, class %q before it matches the same requests", class.Name, other.Name)
			return
		}
	}
}

func validMethod(method string) bool {
	for _, known := range methods {
		if method == known {
			return true
		}
	}
	return false
}

func validPrefix(prefix string) bool {
	if !strings.HasPrefix(prefix, "/") || len(prefix) > MaxPrefixBytes {
		return false
	}
	for _, character := range []byte(prefix) {
		if character <= ' ' || character >= 0x7f {
			return false
		}
	}
	return true
}
