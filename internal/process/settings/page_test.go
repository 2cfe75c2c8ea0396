package settings

import (
	"os"
	"strings"
	"testing"
)

// settingsHeader is the head of the settings table on the operators' page.
const settingsHeader = "| section | key | default | meaning |\n|---|---|---|---|\n"

// Guards against settings that operators can't look up, and against defaults or
// meanings on the page that are not the code's.
func TestPageHoldsTheSettings(t *testing.T) {
	text, err := os.ReadFile("../../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), settingsHeader)
	if !found {
		t.Fatal("the page has no table of settings")
	}
	onPage, _, _ := strings.Cut(rest, "\n\n")
	if want := strings.Join(Describe(), "\n"); onPage != want {
		t.Errorf("docs/operators.md holds\n%s\nand the code describes\n%s", onPage, want)
	}
}
