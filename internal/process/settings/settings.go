// Package settings reads and checks a node's INI settings.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"lagoonbarrow"
)

// Settings are a node's settings. Defaults and meanings stand in options.
type Settings struct {
	Instance lagoonbarrow.InstanceID
	Service  lagoonbarrow.ServiceName
	Zone     lagoonbarrow.Zone
	Region   lagoonbarrow.Region
	Entry    lagoonbarrow.Address
	Local    lagoonbarrow.Address
	Peer     lagoonbarrow.Address
	// PeerAdvertise is the address that other nodes connect to.
	PeerAdvertise lagoonbarrow.Address
	Admin         lagoonbarrow.Address
	Backend       lagoonbarrow.Address
	HealthPath    string
	Slots         int
	Connections   int
	Platform      lagoonbarrow.Address
	// PlatformTimeout bounds one request to the platform.
	PlatformTimeout time.Duration
	// PlatformProbe is the mean time between probes while the platform is down.
	PlatformProbe time.Duration
	PeerKey       string
	ReadToken     string
	ChangeToken   string
	// MaxBodyBytes bounds request and response bodies.
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	// StopTimeout bounds a graceful stop.
	StopTimeout     time.Duration
	ProbeInterval   time.Duration
	HeadInterval    time.Duration
	QueueDelay      time.Duration
	TimelineEvents  int
	Plain           bool
	PlainRetries    int
	LogLevel        string
	ClaimAnswerWait time.Duration
}

// option is one setting of the file.
type option struct {
	section  string
	key      string
	fallback string
	required bool
	meaning  string
	set      func(settings *Settings, value string) error
}

// Load reads a settings file. Errors name the file, section and key and wrap
// lagoonbarrow.ErrInvalid.
func Load(path string) (Settings, error) {
	file, err := ini.LoadSources(
		ini.LoadOptions{
			AllowShadows:            true,
			SkipUnrecognizableLines: false,
		},
		path,
	)
	if err != nil {
		return Settings{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "%s: %v", path, err)
	}
	var settings Settings
	if err := checkKeys(file, path); err != nil {
		return Settings{}, err
	}
	for _, current := range options {
		if err := current.apply(file, path, &settings); err != nil {
			return Settings{}, err
		}
	}
	return settings, nil
}

func (o option) apply(file *ini.File, path string, settings *Settings) error {
	value := o.fallback
	section := file.Section(o.section)
	if section.HasKey(o.key) {
		value = section.Key(o.key).String()
	}
	if value == "" && o.required {
		return fault(path, o.section, o.key, "missing; "+o.meaning)
	}
	if err := o.set(settings, value); err != nil {
		return fault(path, o.section, o.key, err.Error())
	}
	return nil
}

// checkKeys refuses unknown sections and keys, and keys that stand twice.
func checkKeys(file *ini.File, path string) error {
	known := map[string]bool{}
	for _, current := range options {
		known[current.section] = true
		known[current.section+"/"+current.key] = true
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !known[section.Name()] {
			return fault(path, section.Name(), "", "unknown section")
		}
		for _, key := range section.Keys() {
			if !known[section.Name()+"/"+key.Name()] {
				return fault(path, section.Name(), key.Name(), "unknown key")
			}
			if len(key.ValueWithShadows()) > 1 {
				return fault(path, section.Name(), key.Name(), "set more than once")
			}
		}
	}
	return nil
}

func fault(path, section, key, reason string) error {
	if key == "" {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "%s: [%s]: %s", path, section, reason)
	}
	return errors.Wrapf(lagoonbarrow.ErrInvalid, "%s: [%s] %s: %s", path, section, key, reason)
}

func parseAddress(value string) (lagoonbarrow.Address, error) {
	if value == "" {
		return "", nil
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return "", errors.Errorf("%q is not an IP address and port", value)
	}
	if net.ParseIP(host) == nil {
		return "", errors.Errorf("%q is not an IP address", host)
	}
	number, err := strconv.Atoi(port)
	if err != nil || number < 0 || number > 65535 {
		return "", errors.Errorf("%q is not a port number", port)
	}
	return lagoonbarrow.Address(value), nil
}

func parseDuration(value string, low, high time.Duration) (time.Duration, error) {
	duration, err := time.ParseDuration(value)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration with a unit, such as 500ms or 2s", value)
	}
	if duration < low || duration > high {
		return 0, errors.Errorf("%s is outside %s to %s", duration, low, high)
	}
	return duration, nil
}

func parseInt(value string, low, high int) (int, error) {
	number, err := strconv.Atoi(value)
	if err != nil {
		return 0, errors.Errorf("%q is not a whole number", value)
	}
	if number < low || number > high {
		return 0, errors.Errorf("%d is outside %d to %d", number, low, high)
	}
	return number, nil
}

// Describe returns a line for each setting: section, key, default and meaning.
func Describe() []string {
	lines := make([]string, 0, len(options))
	for _, current := range options {
		fallback := current.fallback
		if current.required {
			fallback = "required"
		}
		lines = append(lines, fmt.Sprintf("| %s | %s | %s | %s |", current.section, current.key, fallback, current.meaning))
	}
	return lines
}
