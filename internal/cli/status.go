package cli

import (
	"fmt"
	"io"
	"sort"

	"github.com/alitto/pond/v2"
	"github.com/urfave/cli/v2"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/node"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of all live nodes: contract revision in force, limits with their reasons, shed requests, platform",
		Flags: adminFlags(),
		Action: func(context *cli.Context) error {
			client := newAdminClient(context)
			members, err := client.liveMembers()
			if err != nil {
				return err
			}
			printStatus(context.App.Writer, client.queryStatuses(members))
			return nil
		},
	}
}

// nodeStatus is the status of one node, or the error of the request for it.
type nodeStatus struct {
	member member
	status node.Status
	err    error
}

func (c *adminClient) queryStatuses(members []member) []nodeStatus {
	statuses := make([]nodeStatus, len(members))
	workers := pond.NewPool(queryWorkers)
	for position, queried := range members {
		workers.Submit(func() {
			result := nodeStatus{
				member: queried,
			}
			result.err = c.withAddress(queried.Admin).get("/v1/status", &result.status)
			statuses[position] = result
		})
	}
	workers.StopAndWait()
	return statuses
}

func printStatus(out io.Writer, statuses []nodeStatus) {
	const row = "%-16s %-14s %-6s %-9s %9s %-9s %7s %8s %7s %10s  %s\n"
	fmt.Fprintf(out, row, "INSTANCE", "SERVICE", "ZONE", "STATE", "REVISION", "PLATFORM", "RUNNING", "LIMIT", "QUEUED", "THRESHOLD", "WHY / SHED")
	for _, result := range statuses {
		if result.err != nil {
			fmt.Fprintf(out, "%-16s no answer: %v\n", result.member.ID, result.err)
			continue
		}
		status := result.status
		fmt.Fprintf(
			out, row,
			status.Instance, status.Service, status.Zone, status.State,
			fmt.Sprint(status.ContractRevision),
			platformText(status.PlatformAvailable),
			fmt.Sprint(status.Admission.Running),
			fmt.Sprintf("%d/%d", status.Admission.Limit, status.Admission.Slots),
			fmt.Sprint(status.Admission.Short.Queued+status.Admission.Long.Queued),
			fmt.Sprint(status.Admission.Threshold),
			status.Admission.LimitReason+shedText(status.Admission.Shed)+thresholdText(status.EntryThresholds),
		)
	}
}

func platformText(available bool) string {
	if available {
		return "up"
	}
	return "down"
}

func shedText(shed map[string]uint64) string {
	text := ""
	for _, level := range []string{"critical", "normal", "deferrable"} {
		if count := shed[level]; count > 0 {
			text += fmt.Sprintf("; shed %d %s", count, level)
		}
	}
	return text
}

func thresholdText(thresholds map[string]lagoonbarrow.Threshold) string {
	var names []string
	for name, threshold := range thresholds {
		names = append(names, fmt.Sprintf("; entry %s below %d", name, threshold))
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += name
	}
	return text
}
