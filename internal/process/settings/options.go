package settings

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// minKeyLength is the minimum length of a shared key or credential.
const minKeyLength = 16

// options lists every setting with its default and description.
var options = []option{
	{
		section:     "instance",
		key:         "id",
		required:    true,
		description: "name of this instance, kept over restarts",
		set: func(settings *Settings, value string) error {
			settings.Instance = lagoonbarrow.InstanceID(value)
			return nil
		},
	},
	{
		section:     "instance",
		key:         "service",
		required:    true,
		description: "service of the backend server",
		set: func(settings *Settings, value string) error {
			settings.Service = lagoonbarrow.ServiceName(value)
			return nil
		},
	},
	{
		section:     "instance",
		key:         "zone",
		required:    true,
		description: "availability zone",
		set: func(settings *Settings, value string) error {
			settings.Zone = lagoonbarrow.Zone(value)
			return nil
		},
	},
	{
		section:     "instance",
		key:         "region",
		required:    true,
		description: "region",
		set: func(settings *Settings, value string) error {
			settings.Region = lagoonbarrow.Region(value)
			return nil
		},
	},
	{
		section:     "listen",
		key:         "entry-address",
		description: "customers' HTTP listener; none when empty",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.EntryAddress, value)
		},
	},
	{
		section:     "listen",
		key:         "local-address",
		required:    true,
		description: "HTTP listener for the backend server's downstream calls",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.LocalAddress, value)
		},
	},
	{
		section:     "listen",
		key:         "peer-address",
		required:    true,
		description: "listener for other nodes",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.PeerAddress, value)
		},
	},
	{
		section:     "listen",
		key:         "peer-advertise-address",
		description: "address that other nodes connect to, if it differs from peer-address",
		set: func(settings *Settings, value string) error {
			if value == "" {
				settings.PeerAdvertiseAddress = settings.PeerAddress
				return nil
			}
			return setAddress(&settings.PeerAdvertiseAddress, value)
		},
	},
	{
		section:     "listen",
		key:         "admin-address",
		required:    true,
		description: "administration API and metrics",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.AdminAddress, value)
		},
	},
	{
		section:     "backend",
		key:         "address",
		required:    true,
		description: "HTTP address of the backend server beside this node",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.BackendAddress, value)
		},
	},
	{
		section:      "backend",
		key:          "health-path",
		defaultValue: "/healthz",
		description:  "path of the backend server's health check",
		set: func(settings *Settings, value string) error {
			settings.HealthPath = value
			return nil
		},
	},
	{
		section:     "backend",
		key:         "slots",
		required:    true,
		description: "calls that the backend server runs at once",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.Slots, value, 1, 100000)
		},
	},
	{
		section:     "backend",
		key:         "connections",
		required:    true,
		description: "HTTP connections that the backend server accepts",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.Connections, value, 1, 100000)
		},
	},
	{
		section:     "platform",
		key:         "address",
		required:    true,
		description: "HTTP address of the platform's table service and object store",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.PlatformAddress, value)
		},
	},
	{
		section:      "platform",
		key:          "timeout",
		defaultValue: "1s",
		description:  "bound on one request to the platform",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.PlatformTimeout, value, time.Millisecond, time.Minute)
		},
	},
	{
		section:      "platform",
		key:          "probe-interval",
		defaultValue: "1s",
		description:  "mean time between probes while the platform is down",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.PlatformProbeInterval, value, 10*time.Millisecond, time.Minute)
		},
	},
	{
		section:     "security",
		key:         "peer-key",
		required:    true,
		description: "key shared by all nodes, 16 characters at least",
		set: func(settings *Settings, value string) error {
			return setKey(&settings.PeerKey, value)
		},
	},
	{
		section:     "security",
		key:         "read-token",
		required:    true,
		description: "Bearer credential of operators who read, 16 characters at least",
		set: func(settings *Settings, value string) error {
			return setKey(&settings.ReadToken, value)
		},
	},
	{
		section:     "security",
		key:         "change-token",
		required:    true,
		description: "Bearer credential of operators who change contracts, 16 characters at least",
		set: func(settings *Settings, value string) error {
			return setKey(&settings.ChangeToken, value)
		},
	},
	{
		section:      "limits",
		key:          "max-body-bytes",
		defaultValue: "4194304",
		description:  "largest request or response body",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.MaxBodyBytes, value, 1024, 1<<30)
		},
	},
	{
		section:      "limits",
		key:          "max-header-bytes",
		defaultValue: "16384",
		description:  "largest HTTP header block",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.MaxHeaderBytes, value, 1024, 1<<20)
		},
	},
	{
		section:      "limits",
		key:          "max-connections",
		defaultValue: "2000",
		description:  "connections accepted by each listener",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.MaxConnections, value, 1, 1000000)
		},
	},
	{
		section:      "limits",
		key:          "stop-timeout",
		defaultValue: "30s",
		description:  "bound on a graceful stop",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.StopTimeout, value, 100*time.Millisecond, time.Hour)
		},
	},
	{
		section:      "limits",
		key:          "timeline-events",
		defaultValue: "4096",
		description:  "events kept in memory, for each of two rings",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.TimelineEvents, value, 16, 1<<20)
		},
	},
	{
		section:      "control",
		key:          "probe-interval",
		defaultValue: "1s",
		description:  "time between membership probes",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.ProbeInterval, value, 10*time.Millisecond, time.Minute)
		},
	},
	{
		section:      "control",
		key:          "head-interval",
		defaultValue: "1s",
		description:  "time between reads of the contract head by a reader",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.HeadInterval, value, 10*time.Millisecond, time.Minute)
		},
	},
	{
		section:      "control",
		key:          "queue-delay",
		defaultValue: "20ms",
		description:  "queueing delay that admission aims at",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.QueueDelay, value, time.Millisecond, 10*time.Second)
		},
	},
	{
		section:      "control",
		key:          "claim-answer-wait",
		defaultValue: "1s",
		description:  "longest wait for the platform to keep the answer of a completed claim",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.ClaimAnswerWait, value, 0, time.Minute)
		},
	},
	{
		section:      "baseline",
		key:          "plain",
		defaultValue: "false",
		description:  "forward plainly with retries at each hop, as the baseline of measurements",
		set: func(settings *Settings, value string) error {
			return setBool(&settings.Plain, value)
		},
	},
	{
		section:      "baseline",
		key:          "plain-retries",
		defaultValue: "3",
		description:  "retries at each hop when plain",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.PlainRetries, value, 0, 10)
		},
	},
	{
		section:      "log",
		key:          "level",
		defaultValue: "info",
		description:  "trace, debug, info, warn or error",
		set: func(settings *Settings, value string) error {
			return setLevel(&settings.LogLevel, value)
		},
	},
}

func setAddress(target *lagoonbarrow.Address, value string) error {
	address, err := parseAddress(value)
	*target = address
	return err
}

func setInt(target *int, value string, minValue, maxValue int) error {
	number, err := parseInt(value, minValue, maxValue)
	*target = number
	return err
}

func setDuration(target *time.Duration, value string, minValue, maxValue time.Duration) error {
	duration, err := parseDuration(value, minValue, maxValue)
	*target = duration
	return err
}

func setKey(target *string, value string) error {
	if len(value) < minKeyLength {
		return errors.Errorf("shorter than %d characters", minKeyLength)
	}
	*target = value
	return nil
}

func setBool(target *bool, value string) error {
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return errors.Errorf("%q is neither true nor false", value)
	}
	*target = parsed
	return nil
}

func setLevel(target *string, value string) error {
	switch value {
	case "trace", "debug", "info", "warn", "error":
		*target = value
		return nil
	default:
		return errors.Errorf("%q is not a log level", value)
	}
}
