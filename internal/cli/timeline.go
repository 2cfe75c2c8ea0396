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

// gatherWorkers bounds the nodes that are asked at once.
const gatherWorkers = 32

// eventsPerNode is the most that a node gives in one answer.
const eventsPerNode = 10000

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "gather the events of all live nodes and print them in order",
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
				Usage: "leave out the events of single requests",
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

// gathered is what one node answered.
type gathered struct {
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
		members = withID(members, lagoonbarrow.InstanceID(only))
	}
	answers := client.gather(members, timelineQuery(context))
	events := merge(context, answers)
	silent := silentNodes(answers)
	if path := context.String("html"); path != "" {
		return writePage(path, events, silent)
	}
	printEvents(context.App.Writer, events)
	for _, name := range silent {
		fmt.Fprintf(context.App.Writer, "no answer from %s\n", name)
	}
	return nil
}

// liveMembers returns the instances that the asked node takes for live.
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

func withID(members []member, id lagoonbarrow.InstanceID) []member {
	for _, candidate := range members {
		if candidate.ID == id {
			return []member{candidate}
		}
	}
	return nil
}

func timelineQuery(context *cli.Context) string {
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

func (c *adminClient) gather(members []member, path string) []gathered {
	answers := make([]gathered, len(members))
	workers := pond.NewPool(gatherWorkers)
	for position, current := range members {
		workers.Submit(func() {
			var events []event.Event
			err := c.at(current.Admin).get(path, &events)
			answers[position] = gathered{
				instance: current.ID,
				events:   events,
				err:      err,
			}
		})
	}
	workers.StopAndWait()
	return answers
}

func merge(context *cli.Context, answers []gathered) []event.Event {
	var events []event.Event
	for _, answer := range answers {
		for _, occurrence := range answer.events {
			if context.Bool("process") && occurrence.Fields.Request != "" {
				continue
			}
			events = append(events, occurrence)
		}
	}
	event.Sort(events)
	return events
}

func silentNodes(answers []gathered) []string {
	var names []string
	for _, answer := range answers {
		if answer.err != nil {
			names = append(names, string(answer.instance))
		}
	}
	return names
}

func printEvents(out io.Writer, events []event.Event) {
	for _, occurrence := range events {
		fmt.Fprintf(
			out, "%s %-16s %d %-22s %s\n",
			occurrence.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000000Z"),
			occurrence.Instance,
			occurrence.Number,
			occurrence.Name,
			fieldsText(occurrence.Fields),
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

func writePage(path string, events []event.Event, silent []string) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write time line page")
	}
	if err := renderPage(file, events, silent); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write time line page")
	}
	return errors.Wrap(file.Close(), "write time line page")
}
