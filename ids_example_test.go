package lagoonbarrow_test

import (
	"fmt"

	"lagoonbarrow"
)

// A restored store gives out its numbers again. The versions of the later era are higher.
func ExampleNewRowVersion() {
	before := lagoonbarrow.NewRowVersion(1, 900)
	after := lagoonbarrow.NewRowVersion(2, 870)
	fmt.Println(after > before, after)
	// Output: true 2/870
}
