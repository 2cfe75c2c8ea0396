// Package command implements the command line of the stand-ins.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v2"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/platform"
)

// stopTimeout bounds the graceful stop of a backend server.
const stopTimeout = 10 * time.Second

// New returns the command line application.
func New() *cli.App {
	return &cli.App{
		Name:  "lagoonbarrow-standin",
		Usage: "stand-ins for the platform and the backend servers, and a load generator",
		Commands: []*cli.Command{
			platformCommand(),
			backendCommand(),
			loadCommand(),
		},
	}
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "address",
		Usage:    "listen on `IP:PORT`",
		Required: true,
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the platform's table service and object store in memory",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.IntFlag{
				Name:  "writes-per-second",
				Usage: "refuse more row writes than `N` a second; 0 for no limit",
			},
			&cli.IntFlag{
				Name:  "reads-per-second",
				Usage: "refuse more reads than `N` a second; 0 for no limit",
			},
		},
		Action: func(flags *cli.Context) error {
			server := platform.New(platform.Config{
				Address:         lagoonbarrow.Address(flags.String("address")),
				WritesPerSecond: flags.Int("writes-per-second"),
				ReadsPerSecond:  flags.Int("reads-per-second"),
			})
			if _, err := server.Start(); err != nil {
				return err
			}
			awaitSignal()
			return server.Stop()
		},
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a backend server with slots, service times and downstream calls",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{
				Name:     "service",
				Usage:    "`NAME` of the service",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "node",
				Usage: "local address of the node beside it, `IP:PORT`",
			},
			&cli.IntFlag{
				Name:  "slots",
				Usage: "run `N` requests at once",
				Value: 70,
			},
			&cli.DurationFlag{
				Name:  "service-time",
				Usage: "mean `TIME` of a request without its downstream calls",
				Value: 2 * time.Millisecond,
			},
			&cli.DurationFlag{
				Name:  "long-service-time",
				Usage: "mean `TIME` of a request for an archive",
			},
			&cli.StringFlag{
				Name:  "distribution",
				Usage: "`NAME` of the distribution of service times: fixed, uniform or exponential",
				Value: string(backend.DistributionUniform),
			},
			&cli.DurationFlag{
				Name:  "cold-start",
				Usage: "`TIME` after the start during which requests are slower",
			},
			&cli.StringFlag{
				Name:  "downstream",
				Usage: "services to call for each request, separated by commas",
			},
			&cli.IntFlag{
				Name:  "retries",
				Usage: "repeat a failed downstream call `N` times",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the service times",
			},
		},
		Action: runBackend,
	}
}

func runBackend(flags *cli.Context) error {
	server, err := backend.New(backend.Config{
		Service:         lagoonbarrow.ServiceName(flags.String("service")),
		Address:         lagoonbarrow.Address(flags.String("address")),
		Node:            lagoonbarrow.Address(flags.String("node")),
		Slots:           flags.Int("slots"),
		ServiceTime:     flags.Duration("service-time"),
		LongServiceTime: flags.Duration("long-service-time"),
		Distribution:    backend.Distribution(flags.String("distribution")),
		ColdStart:       flags.Duration("cold-start"),
		Downstream:      parseServices(flags.String("downstream")),
		Retries:         flags.Int("retries"),
		Seed:            flags.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	if _, err := server.Start(); err != nil {
		return err
	}
	awaitSignal()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return server.Stop(ctx)
}

// parseServices splits a comma-separated list of service names and skips empty
// ones.
func parseServices(list string) []lagoonbarrow.ServiceName {
	var names []lagoonbarrow.ServiceName
	for _, name := range strings.Split(list, ",") {
		if name != "" {
			names = append(names, lagoonbarrow.ServiceName(name))
		}
	}
	return names
}

func awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}

// Run runs the command line and returns the exit code.
func Run(arguments []string) int {
	if err := New().Run(arguments); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonbarrow-standin: "+err.Error())
		return 1
	}
	return 0
}
