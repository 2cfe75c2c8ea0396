package quota

import (
	"strconv"

	"lagoonbarrow"
)

func unitsText(units lagoonbarrow.WorkUnits) string {
	return strconv.FormatFloat(float64(units), 'g', 4, 64) + " work units per second"
}
