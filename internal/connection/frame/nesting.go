package frame

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth bounds the nesting of a value. Those of this project have less than ten levels.
const maxDepth = 64

// errTooDeep is returned for a value that is nested too deeply.
var errTooDeep = errors.New("frame: value is nested too deeply")

// checkValue reads one value and returns an error unless it is complete and nested at most
// maxDepth levels deep. The decoder's own Skip calls itself for each level, so that a
// frame of a few megabytes would overflow the stack, which ends the process.
func checkValue(decoder *msgpack.Decoder) error {
	var open [maxDepth]int
	// open[depth] is the number of values left at that level.
	depth := 0
	open[0] = 1
	for depth >= 0 {
		if open[depth] == 0 {
			depth--
			continue
		}
		open[depth]--
		children, err := readHead(decoder)
		if err != nil {
			return err
		}
		if children == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return errTooDeep
		}
		open[depth] = children
	}
	return nil
}

// readHead reads a scalar value, or the head of an array or a map, and returns the number of
// values that follow in it.
func readHead(decoder *msgpack.Decoder) (children int, err error) {
	code, err := decoder.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		entries, err := decoder.DecodeMapLen()
		return 2 * entries, err
	default:
		return 0, decoder.Skip()
	}
}
