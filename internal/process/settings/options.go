package settings

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// keyCharacters is the shortest shared key or credential that is accepted.
const keyCharacters = 16

// options lists every setting with its default and meaning.
var options = []option{
	{
		section:  "instance",
		key:      "id",
		required: true,
		meaning:  "name of this instance, kept over restarts",
		set: func(settings *Settings, value string) error {
			settings.Instance = lagoonbarrow.InstanceID(value)
			return nil
		},
	},
	{
		section:  "instance",
		key:      "service",
		required: true,
		meaning:  "service of the backend server",
		set: func(settings *Settings, value string) error {
			settings.Service = lagoonbarrow.ServiceName(value)
			return nil
		},
	},
	{
		section:  "instance",
		key:      "zone",
		required: true,
		meaning:  "availability zone",
		set: func(settings *Settings, value string) error {
			settings.Zone = lagoonbarrow.Zone(value)
			return nil
		},
	},
	{
		section:  "instance",
		key:      "region",
		required: true,
		meaning:  "region",
		set: func(settings *Settings, value string) error {
			settings.Region = lagoonbarrow.Region(value)
			return nil
		},
	},
	{
		section: "listen",
		key:     "entry-address",
		meaning: "customers' HTTP listener; none when empty",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.Entry, value)
		},
	},
	{
		section:  "listen",
		key:      "local-address",
		required: true,
		meaning:  "HTTP listener for the backend server's downstream calls",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.Local, value)
		},
	},
	{
		section:  "listen",
		key:      "peer-address",
		required: true,
		meaning:  "listener for other nodes",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.Peer, value)
		},
	},
	{
		section: "listen",
		key:     "peer-advertise-address",
		meaning: "address that other nodes connect to, if it differs from peer-address",
		set: func(settings *Settings, value string) error {
			if value == "" {
				settings.PeerAdvertise = settings.Peer
				return nil
			}
			return setAddress(&settings.PeerAdvertise, value)
		},
	},
	{
		section:  "listen",
		key:      "admin-address",
		required: true,
		meaning:  "administration API and metrics",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.Admin, value)
		},
	},
	{
		section:  "backend",
		key:      "address",
		required: true,
		meaning:  "HTTP address of the backend server beside this node",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.Backend, value)
		},
	},
	{
		section:  "backend",
		key:      "health-path",
		fallback: "/healthz",
		meaning:  "path of the backend server's health check",
		set: func(settings *Settings, value string) error {
			settings.HealthPath = value
			return nil
		},
	},
	{
		section:  "backend",
		key:      "slots",
		required: true,
		meaning:  "calls that the backend server runs at once",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.Slots, value, 1, 100000)
		},
	},
	{
		section:  "backend",
		key:      "connections",
		required: true,
		meaning:  "HTTP connections that the backend server accepts",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.Connections, value, 1, 100000)
		},
	},
	{
		section:  "platform",
		key:      "address",
		required: true,
		meaning:  "HTTP address of the platform's table service and object store",
		set: func(settings *Settings, value string) error {
			return setAddress(&settings.Platform, value)
		},
	},
	{
		section:  "platform",
		key:      "timeout",
		fallback: "1s",
		meaning:  "bound on one request to the platform",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.PlatformTimeout, value, time.Millisecond, time.Minute)
		},
	},
	{
		section:  "platform",
		key:      "probe-interval",
		fallback: "1s",
		meaning:  "mean time between probes while the platform is down",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.PlatformProbe, value, 10*time.Millisecond, time.Minute)
		},
	},
	{
		section:  "security",
		key:      "peer-key",
		required: true,
		meaning:  "key shared by all nodes, 16 characters at least",
		set: func(settings *Settings, value string) error {
			return setKey(&settings.PeerKey, value)
		},
	},
	{
		section:  "security",
		key:      "read-token",
		required: true,
		meaning:  "Bearer credential of operators who read, 16 characters at least",
		set: func(settings *Settings, value string) error {
			return setKey(&settings.ReadToken, value)
		},
	},
	{
		section:  "security",
		key:      "change-token",
		required: true,
		meaning:  "Bearer credential of operators who change contracts, 16 characters at least",
		set: func(settings *Settings, value string) error {
			return setKey(&settings.ChangeToken, value)
		},
	},
	{
		section:  "limits",
		key:      "max-body-bytes",
		fallback: "4194304",
		meaning:  "largest request or response body",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.MaxBodyBytes, value, 1024, 1<<30)
		},
	},
	{
		section:  "limits",
		key:      "max-header-bytes",
		fallback: "16384",
		meaning:  "largest HTTP header block",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.MaxHeaderBytes, value, 1024, 1<<20)
		},
	},
	{
		section:  "limits",
		key:      "max-connections",
		fallback: "2000",
		meaning:  "connections accepted by each listener",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.MaxConnections, value, 1, 1000000)
		},
	},
	{
		section:  "limits",
		key:      "stop-timeout",
		fallback: "30s",
		meaning:  "bound on a graceful stop",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.StopTimeout, value, 100*time.Millisecond, time.Hour)
		},
	},
	{
		section:  "limits",
		key:      "timeline-events",
		fallback: "4096",
		meaning:  "events kept in memory, for each of two rings",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.TimelineEvents, value, 16, 1<<20)
		},
	},
	{
		section:  "control",
		key:      "probe-interval",
		fallback: "1s",
		meaning:  "time between membership probes",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.ProbeInterval, value, 10*time.Millisecond, time.Minute)
		},
	},
	{
		section:  "control",
		key:      "head-interval",
		fallback: "1s",
		meaning:  "time between reads of the contract head by a reader",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.HeadInterval, value, 10*time.Millisecond, time.Minute)
		},
	},
	{
		section:  "control",
		key:      "queue-delay",
		fallback: "20ms",
		meaning:  "queueing delay that admission aims at",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.QueueDelay, value, time.Millisecond, 10*time.Second)
		},
	},
	{
		section:  "control",
		key:      "claim-answer-wait",
		fallback: "1s",
		meaning:  "longest wait for the platform to keep the answer of a completed claim",
		set: func(settings *Settings, value string) error {
			return setDuration(&settings.ClaimAnswerWait, value, 0, time.Minute)
		},
	},
	{
		section:  "baseline",
		key:      "plain",
		fallback: "false",
		meaning:  "forward plainly with retries at each hop, as the baseline of measurements",
		set: func(settings *Settings, value string) error {
			return setBool(&settings.Plain, value)
		},
	},
	{
		section:  "baseline",
		key:      "plain-retries",
		fallback: "3",
		meaning:  "retries at each hop when plain",
		set: func(settings *Settings, value string) error {
			return setInt(&settings.PlainRetries, value, 0, 10)
		},
	},
	{
		section:  "log",
		key:      "level",
		fallback: "info",
		meaning:  "trace, debug, info, warn or error",
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

func setInt(target *int, value string, low, high int) error {
	number, err := parseInt(value, low, high)
	*target = number
	return err
}

func setDuration(target *time.Duration, value string, low, high time.Duration) error {
	duration, err := parseDuration(value, low, high)
	*target = duration
	return err
}

func setKey(target *string, value string) error {
	if len(value) < keyCharacters {
		return errors.Errorf("shorter than %d characters", keyCharacters)
	}
	*target = value
	return nil
}

func setBool(target *bool, value string) error {
	truth, err := strconv.ParseBool(value)
	if err != nil {
		return errors.Errorf("%q is neither true nor false", value)
	}
	*target = truth
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
