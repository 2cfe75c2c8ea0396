package contract

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// MaxContractBytes is the maximum size of the JSON text of a contract. 64 KiB
// holds a contract with every part at its maximum, and four of these fit into
// one frame.
const MaxContractBytes = 64 << 10

// DefaultRetryTokens is used for a class whose JSON text has no retry-tokens.
const DefaultRetryTokens = lagoonbarrow.Tokens(3)

// DefaultDeadline is used for a class that is not critical and has no deadline.
// With a deadline of 0, every request would be past it. Critical classes must
// set their own.
const DefaultDeadline = 10 * time.Second

// Decode decodes and validates the JSON text of a contract. It rejects unknown
// fields, text after the contract and oversized input. Errors wrap
// lagoonbarrow.ErrInvalid, or lagoonbarrow.ErrTooLarge for oversized input.
func Decode(text []byte) (lagoonbarrow.Contract, error) {
	if len(text) > MaxContractBytes {
		return lagoonbarrow.Contract{}, errors.Wrapf(lagoonbarrow.ErrTooLarge, "contract: decode: %d bytes", len(text))
	}
	var contract lagoonbarrow.Contract
	if err := decodeStrict(text, &contract); err != nil {
		return lagoonbarrow.Contract{}, err
	}
	setClassDefaults(text, &contract)
	if err := Validate(contract); err != nil {
		return lagoonbarrow.Contract{}, err
	}
	return contract, nil
}

func decodeStrict(text []byte, contract *lagoonbarrow.Contract) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(contract); err != nil {
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

// setClassDefaults sets the default retry tokens and deadline of each class. It
// decodes the text again to distinguish missing retry-tokens from 0.
func setClassDefaults(text []byte, contract *lagoonbarrow.Contract) {
	var parsed struct {
		Classes []struct {
			RetryTokens *lagoonbarrow.Tokens `json:"retry-tokens"`
		} `json:"classes"`
	}
	if err := json.Unmarshal(text, &parsed); err != nil {
		return
	}
	for index := range parsed.Classes {
		if parsed.Classes[index].RetryTokens == nil {
			contract.Classes[index].RetryTokens = DefaultRetryTokens
		}
		class := &contract.Classes[index]
		if class.Deadline == 0 && class.Importance() != lagoonbarrow.ImportanceCritical {
			class.Deadline = lagoonbarrow.Duration(DefaultDeadline)
		}
	}
}
