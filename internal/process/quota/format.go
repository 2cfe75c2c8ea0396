package quota

import (
	"strconv"

	"lagoonbarrow"
)

func formatRate(rate lagoonbarrow.WorkUnits) string {
	return strconv.FormatFloat(float64(rate), 'g', 4, 64) + " work units per second"
}
