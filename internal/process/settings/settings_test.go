package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// validSettings sets only the required options.
const validSettings = `[instance]
id = minutes-1
service = minutes
zone = a
region = north
[listen]
local-address = 127.0.0.1:7001
peer-address = 127.0.0.1:7002
admin-address = 127.0.0.1:7003
[backend]
address = 127.0.0.1:7004
slots = 70
connections = 500
[platform]
address = 127.0.0.1:7005
[security]
peer-key = 0123456789abcdef
read-token = 0123456789abcdef
change-token = 0123456789abcdef
`

// loadText loads a file with this text.
func loadText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// Guards against invalid settings that Load accepts and that fail only when the node
// serves requests.
func TestLoadErrorNamesTheSetting(t *testing.T) {
	tests := []struct {
		name string
		from string
		to   string
		want string
	}{
		{
			name: "unknown key",
			from: "slots = 70",
			to:   "slots = 70\nslotz = 7",
			want: "[backend] slotz: unknown key",
		},
		{
			name: "unknown section",
			from: "[platform]",
			to:   "[platfrom]\nx = 1\n[platform]",
			want: "[platfrom]: unknown section",
		},
		{
			name: "missing address",
			from: "address = 127.0.0.1:7005",
			to:   "",
			want: "[platform] address: missing",
		},
		{
			name: "bad unit",
			from: "[platform]",
			to:   "[platform]\ntimeout = 5",
			want: "[platform] timeout: \"5\" is not a duration",
		},
		{
			name: "host name",
			from: "127.0.0.1:7004",
			to:   "localhost:7004",
			want: "[backend] address: \"localhost\" is not an IP address",
		},
		{
			name: "short key",
			from: "peer-key = 0123456789abcdef",
			to:   "peer-key = abc",
			want: "[security] peer-key: shorter than",
		},
		{
			name: "set twice",
			from: "slots = 70",
			to:   "slots = 70\nslots = 71",
			want: "[backend] slots: set more than once",
		},
		{
			name: "out of range",
			from: "slots = 70",
			to:   "slots = 0",
			want: "[backend] slots: 0 is outside",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := loadText(t, strings.Replace(validSettings, test.from, test.to, 1))
			if !errors.Is(err, lagoonbarrow.ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
			if !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %q, want it to contain %q", err, test.want)
			}
		})
	}
}

// Guards against a default value that fails its own validation.
func TestLoadAppliesDefaults(t *testing.T) {
	settings, err := loadText(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if settings.MaxBodyBytes != 4<<20 {
		t.Fatalf("got %d bytes, want the default", settings.MaxBodyBytes)
	}
}

// Guards against a settings file that makes Load panic.
func FuzzLoad(f *testing.F) {
	f.Add(validSettings)
	f.Add("[instance\nid")
	f.Add("a = b\n[x]\ny")
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = loadText(t, text)
	})
}
