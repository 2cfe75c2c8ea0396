package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"lagoonbarrow/internal/process/logging"
	"lagoonbarrow/internal/process/panics"
	"lagoonbarrow/internal/process/reload"
	"lagoonbarrow/internal/process/sidecar"
	"lagoonbarrow/platform"
)

// softLimitFraction is the fraction of the process's memory limit that is set as Go's
// soft memory limit. Near the soft limit the garbage collector runs more often.
const softLimitFraction = 0.7

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:      "sidecar",
		Usage:     "run the sidecar beside a backend server of the users' platform until SIGTERM",
		UsageText: "lagoonbarrow sidecar [--settings FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "settings",
				Usage:   "the platform's settings `FILE`",
				EnvVars: []string{platform.SettingsPathVariable},
				Value:   platform.DefaultSettingsPath,
			},
		},
		Action: runSidecar,
	}
}

func runSidecar(command *cli.Context) error {
	path := command.String("settings")
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "cli: read settings")
	}
	settings, err := platform.ParseSettings(content)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(softLimitFraction * float64(settings.MemoryBytes)))
	lines := logging.NewWriter(os.Stdout)
	defer lines.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       string(settings.Instance),
		Level:      hclog.Info,
		Output:     lines,
		JSONFormat: true,
	})
	process, err := sidecar.New(sidecar.Config{
		Settings: settings,
		Store: platform.NewStore(platform.StoreConfig{
			Address: settings.StoreAddress,
			Logger:  logger.Named("store"),
		}),
		Configuration:    platform.ConfigurationSource(),
		Headers:          platform.Headers(),
		HeartbeatHandler: platform.NewHeartbeatHandler,
		Logger:           logger,
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(command.Context)
	defer cancel()
	watcher := reload.NewWatcher(reload.Config{
		Path:           path,
		InitialContent: content,
		OnChange:       func(content []byte) { reloadSettings(content, process, logger) },
		Logger:         logger.Named("settings"),
	})
	go panics.NewReporter(logger).Run(ctx, "settings", watcher.Run)
	started := make(chan error, 1)
	go func() {
		started <- process.Start(ctx)
	}()
	for {
		select {
		case err := <-started:
			if err != nil {
				return err
			}
			started = nil
		case received := <-signals:
			if received == syscall.SIGHUP {
				logger.Info("received SIGHUP; checking for changed settings")
				watcher.Signal()
				continue
			}
			cancel()
			process.Stop()
			return nil
		}
	}
}

// reloadSettings parses the changed settings and applies them to the process.
func reloadSettings(content []byte, process *sidecar.Sidecar, logger hclog.Logger) {
	settings, err := platform.ParseSettings(content)
	if err != nil {
		logger.Error("the changed settings file is not valid; keeping the current settings", "error", err)
		return
	}
	process.Reload(settings)
}
