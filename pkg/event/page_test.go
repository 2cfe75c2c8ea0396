package event

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// pageRows returns the number, name and meaning of each row of docs/events.md.
func pageRows(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if !strings.HasPrefix(line, "| ") || cells[0] == "number" {
			continue
		}
		if len(cells) != 4 || cells[3] == "" {
			t.Errorf("row without four cells: %s", line)
			continue
		}
		rows = append(rows, strings.Join(cells[:3], " | "))
	}
	return rows
}

// Guards against events that are missing on the page, rows of events that no
// longer exist, and numbers, names or meanings that differ.
func TestCatalogueMatchesPage(t *testing.T) {
	onPage := map[string]bool{}
	for _, row := range pageRows(t) {
		if onPage[row] {
			t.Errorf("duplicate row on the page: %s", row)
		}
		onPage[row] = true
	}
	for _, kind := range Catalogue() {
		row := fmt.Sprintf("%d | `%s` | %s", kind.Number, kind.Name, kind.Meaning)
		if !onPage[row] {
			t.Errorf("missing on the page: %s", row)
		}
		delete(onPage, row)
	}
	for row := range onPage {
		t.Errorf("missing in the catalogue: %s", row)
	}
}
