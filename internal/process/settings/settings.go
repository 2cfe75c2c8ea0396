// Package settings reads and validates a node's INI settings file.
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

// Settings holds a node's settings. The options list their defaults and descriptions.
type Settings struct {
	Instance     lagoonbarrow.InstanceID
	Service      lagoonbarrow.ServiceName
	Zone         lagoonbarrow.Zone
	Region       lagoonbarrow.Region
	EntryAddress lagoonbarrow.Address
	LocalAddress lagoonbarrow.Address
	PeerAddress  lagoonbarrow.Address
	// PeerAdvertiseAddress is the address that other nodes connect to.
	PeerAdvertiseAddress lagoonbarrow.Address
	AdminAddress         lagoonbarrow.Address
	BackendAddress       lagoonbarrow.Address
	HealthPath           string
	Slots                int
	Connections          int
	PlatformAddress      lagoonbarrow.Address
	// PlatformTimeout bounds one request to the platform.
	PlatformTimeout time.Duration
	// PlatformProbeInterval is the mean time between probes while the platform is down.
	PlatformProbeInterval time.Duration
	PeerKey               string
	ReadToken             string
	ChangeToken           string
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

// option describes one setting of the file and how to parse it.
type option struct {
	section      string
	key          string
	defaultValue string
	required     bool
	description  string
	set          func(settings *Settings, value string) error
}

// Load reads and validates a settings file. Errors name the file, section and key, and
// wrap lagoonbarrow.ErrInvalid.
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
	for _, opt := range options {
		if err := opt.apply(file, path, &settings); err != nil {
			return Settings{}, err
		}
	}
	return settings, nil
}

// apply sets the option from the file, or from its default.
func (o option) apply(file *ini.File, path string, settings *Settings) error {
	value := o.defaultValue
	section := file.Section(o.section)
	if section.HasKey(o.key) {
		value = section.Key(o.key).String()
	}
	if value == "" && o.required {
		return settingError(path, o.section, o.key, "missing; "+o.description)
	}
	if err := o.set(settings, value); err != nil {
		return settingError(path, o.section, o.key, err.Error())
	}
	return nil
}

// checkKeys rejects unknown sections, unknown keys, and keys that are set more than once.
func checkKeys(file *ini.File, path string) error {
	known := map[string]bool{}
	for _, opt := range options {
		known[opt.section] = true
		known[opt.section+"/"+opt.key] = true
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !known[section.Name()] {
			return settingError(path, section.Name(), "", "unknown section")
		}
		for _, key := range section.Keys() {
			if !known[section.Name()+"/"+key.Name()] {
				return settingError(path, section.Name(), key.Name(), "unknown key")
			}
			if len(key.ValueWithShadows()) > 1 {
				return settingError(path, section.Name(), key.Name(), "set more than once")
			}
		}
	}
	return nil
}

// settingError returns an error for a setting, or for a section if key is empty.
func settingError(path, section, key, reason string) error {
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

func parseDuration(value string, minValue, maxValue time.Duration) (time.Duration, error) {
	duration, err := time.ParseDuration(value)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration with a unit, such as 500ms or 2s", value)
	}
	if duration < minValue || duration > maxValue {
		return 0, errors.Errorf("%s is outside %s to %s", duration, minValue, maxValue)
	}
	return duration, nil
}

func parseInt(value string, minValue, maxValue int) (int, error) {
	number, err := strconv.Atoi(value)
	if err != nil {
		return 0, errors.Errorf("%q is not a whole number", value)
	}
	if number < minValue || number > maxValue {
		return 0, errors.Errorf("%d is outside %d to %d", number, minValue, maxValue)
	}
	return number, nil
}

// Describe returns a Markdown table row for each setting with its section, key, default
// and description.
func Describe() []string {
	lines := make([]string, 0, len(options))
	for _, opt := range options {
		defaultValue := opt.defaultValue
		if opt.required {
			defaultValue = "required"
		}
		lines = append(lines, fmt.Sprintf("| %s | %s | %s | %s |", opt.section, opt.key, defaultValue, opt.description))
	}
	return lines
}
