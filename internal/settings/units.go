package settings

import (
	"strconv"
	"strings"

	"dotterelhitch/internal/structs"
)

// unit is a suffix and its worth in bytes.
type unit struct {
	suffix string
	num    int64
	den    int64
}

// sizeUnits are tried in turn, longer suffixes first.
var sizeUnits = []unit{
	{"KiB", 1 << 10, 1},
	{"MiB", 1 << 20, 1},
	{"kB", 1000, 1},
	{"MB", 1000 * 1000, 1},
	{"B", 1, 1},
}

// rateUnits are those of the link between regions.
var rateUnits = []unit{
	{"Mbit/s", 1000 * 1000, 8},
	{"kbit/s", 1000, 8},
	{"KiB/s", 1 << 10, 1},
	{"MiB/s", 1 << 20, 1},
	{"kB/s", 1000, 1},
	{"MB/s", 1000 * 1000, 1},
	{"B/s", 1, 1},
}

// maxQuantity keeps every product below the range of an int64.
const maxQuantity = 1 << 40

// parseQuantity reads a whole number followed by one of the units.
func parseQuantity(s string, units []unit) (int64, error) {
	for _, u := range units {
		digits, found := strings.CutSuffix(s, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > maxQuantity {
			break
		}
		return n * u.num / u.den, nil
	}
	return 0, structs.NewError(structs.CodeInvalid, "%q: want a whole number with a unit of %s", s, suffixes(units))
}

func suffixes(units []unit) string {
	names := make([]string, len(units))
	for i, u := range units {
		names[i] = u.suffix
	}
	return strings.Join(names, ", ")
}
