package cli

import (
	"fmt"
	"io"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// queryWorkers bounds the number of nodes that are queried at once.
const queryWorkers = 32

// eventsPerNode is the largest number of events that a node returns in one response.
const eventsPerNode = 10000

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "collect the events of all live nodes and print them in order",
		Flags: adminFlags(
			&cli.StringFlag{
				Name:  "request",
				Usage: "only events of request `ID`",
			},
			&cli.StringFlag{
				Name:  "customer",
				Usage: "only events of `CUSTOMER`",
			},
			&cli.Uint64Flag{
				Name:  "contract-version",
				Usage: "only events of contract version `N`",
			},
			&cli.StringFlag{
				Name:  "node",
				Usage: "only events of instance `ID`",
			},
			&cli.BoolFlag{
				Name:  "process",
				Usage: "omit the events of individual requests",
			},
			&cli.StringFlag{
				Name:  "html",
				Usage: "write a self-contained page to `FILE` instead",
			},
		),
		Action: runTimeline,
	}
}

// member is a live instance as the administration API lists it.
type member struct {
	ID      lagoonbarrow.InstanceID  `json:"id"`
	Service lagoonbarrow.ServiceName `json:"service"`
	Zone    lagoonbarrow.Zone        `json:"zone"`
	Admin   lagoonbarrow.Address     `json:"admin"`
	State   string                   `json:"state"`
}

// nodeEvents holds the events of one node, or the error of the request for them.
type nodeEvents struct {
	instance lagoonbarrow.InstanceID
	events   []event.Event
	err      error
}

func runTimeline(context *cli.Context) error {
	client := newAdminClient(context)
	members, err := client.liveMembers()
	if err != nil {
		return err
	}
	if only := context.String("node"); only != "" {
		members = filterByID(members, lagoonbarrow.InstanceID(only))
	}
	results := client.queryEvents(members, eventsPath(context))
	events := mergeEvents(context, results)
	failed := failedNodes(results)
	if path := context.String("html"); path != "" {
		return writePage(path, events, failed)
	}
	printEvents(context.App.Writer, events)
	for _, name := range failed {
		fmt.Fprintf(context.App.Writer, "no answer from %s\n", name)
	}
	return nil
}

// liveMembers returns the instances that the queried node lists as live.
func (c *adminClient) liveMembers() ([]member, error) {
	var members []member
	if err := c.get("/v1/members", &members); err != nil {
		return nil, err
	}
	sort.Slice(members, func(i, j int) bool {
		return members[i].ID < members[j].ID
	})
	return members, nil
}

func filterByID(members []member, id lagoonbarrow.InstanceID) []member {
	for _, candidate := range members {
		if candidate.ID == id {
			return []member{candidate}
		}
	}
	return nil
}

// eventsPath returns the path of the request for the events that the flags select.
func eventsPath(context *cli.Context) string {
	query := url.Values{}
	query.Set("limit", strconv.Itoa(eventsPerNode))
	for _, name := range []string{"request", "customer"} {
		if value := context.String(name); value != "" {
			query.Set(name, value)
		}
	}
	if version := context.Uint64("contract-version"); version != 0 {
		query.Set("contract-version", strconv.FormatUint(version, 10))
	}
	return "/v1/events?" + query.Encode()
}

func (c *adminClient) queryEvents(members []member, path string) []nodeEvents {
	results := make([]nodeEvents, len(members))
	workers := pond.NewPool(queryWorkers)
	for position, queried := range members {
		workers.Submit(func() {
			var events []event.Event
			err := c.withAddress(queried.Admin).get(path, &events)
			results[position] = nodeEvents{
				instance: queried.ID,
				events:   events,
				err:      err,
			}
		})
	}
	workers.StopAndWait()
	return results
}

// mergeEvents returns the selected events of all nodes in order.
func mergeEvents(context *cli.Context, results []nodeEvents) []event.Event {
	var events []event.Event
	for _, result := range results {
		for _, e := range result.events {
			if context.Bool("process") && e.Fields.Request != "" {
				continue
			}
			events = append(events, e)
		}
	}
	event.Sort(events)
	return events
}

func failedNodes(results []nodeEvents) []string {
	var names []string
	for _, result := range results {
		if result.err != nil {
			names = append(names, string(result.instance))
		}
	}
	return names
}

func printEvents(out io.Writer, events []event.Event) {
	for _, e := range events {
		fmt.Fprintf(
			out, "%s %-16s %d %-22s %s\n",
			e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000000Z"),
			e.Instance,
			e.Number,
			e.Name,
			fieldsText(e.Fields),
		)
	}
}

func fieldsText(fields event.Fields) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", fields.Request)
	add("customer", fields.Customer)
	add("class", fields.Class)
	if fields.ContractVersion != 0 {
		add("contract-version", strconv.FormatUint(fields.ContractVersion, 10))
	}
	add("peer", fields.Peer)
	if fields.Detail != "" {
		parts = append(parts, fields.Detail)
	}
	return strings.Join(parts, " ")
}

func writePage(path string, events []event.Event, failedNodes []string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write timeline page")
	}
	if err := renderPage(file, events, failedNodes); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write timeline page")
	}
	return errors.Wrap(file.Close(), "write timeline page")
}
