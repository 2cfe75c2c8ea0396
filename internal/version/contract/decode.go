package contract

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// MaxContractBytes bounds the JSON text of a contract. 64 KiB holds a contract
// with every part at its bound, and four of them fit into one frame.
const MaxContractBytes = 64 << 10

// DefaultRetryTokens are given to a class whose JSON text names none.
const DefaultRetryTokens = lagoonbarrow.Tokens(3)

// DefaultDeadline is given to a class that is not critical and whose JSON text
// names no deadline; without one every request would be past it. Critical
// classes must name theirs.
const DefaultDeadline = 10 * time.Second

// Decode reads the JSON text of a contract and validates it. Unknown fields,
// text after the contract and oversized input are refused. Errors wrap
// lagoonbarrow.ErrInvalid, or lagoonbarrow.ErrTooLarge for oversized input.
func Decode(text []byte) (lagoonbarrow.Contract, error) {
	if len(text) > MaxContractBytes {
		return lagoonbarrow.Contract{}, errors.Wrapf(lagoonbarrow.ErrTooLarge, "contract: decode: %d bytes", len(text))
	}
	var contract lagoonbarrow.Contract
	if err := decodeStrict(text, &contract); err != nil {
		return lagoonbarrow.Contract{}, err
	}
	setDefaultTokens(text, &contract)
	if err := Validate(contract); err != nil {
		return lagoonbarrow.Contract{}, err
	}
	return contract, nil
}

func decodeStrict(text []byte, into *lagoonbarrow.Contract) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return invalidJSON(err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return invalidJSON("text after the end of the contract")
	}
	return nil
}

func invalidJSON(fault string) error {
	return &InvalidError{
		Faults: []string{"json: " + fault},
	}
}

// setDefaultTokens tells classes without retry-tokens from those with 0.
func setDefaultTokens(text []byte, contract *lagoonbarrow.Contract) {
	var given struct {
		Classes []struct {
			RetryTokens *lagoonbarrow.Tokens `json:"retry-tokens"`
		} `json:"classes"`
	}
	if err := json.Unmarshal(text, &given); err != nil {
		return
	}
	for index := range given.Classes {
		if given.Classes[index].RetryTokens == nil {
			contract.Classes[index].RetryTokens = DefaultRetryTokens
		}
		class := &contract.Classes[index]
		if class.Deadline == 0 && class.Importance() != lagoonbarrow.ImportanceCritical {
			class.Deadline = lagoonbarrow.Duration(DefaultDeadline)
		}
	}
}
