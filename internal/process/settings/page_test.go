package settings

import (
	"os"
	"strings"
	"testing"
)

// settingsHeader is the header of the settings table on the operators' page.
const settingsHeader = "| section | key | default | meaning |\n|---|---|---|---|\n"

// Guards against settings that are missing from the operators' page, and against defaults
// or descriptions on it that differ from the code.
func TestOperatorsPageListsTheSettings(t *testing.T) {
	text, err := os.ReadFile("../../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), settingsHeader)
	if !found {
		t.Fatal("the page has no table of settings")
	}
	documented, _, _ := strings.Cut(rest, "\n\n")
	if want := strings.Join(Describe(), "\n"); documented != want {
		t.Errorf("docs/operators.md holds\n%s\nand the code describes\n%s", documented, want)
	}
}
