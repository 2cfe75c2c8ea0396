package cli

import (
	"html/template"
	"io"
	"sort"

	"lagoonbarrow/pkg/event"
)

// The page's layout, in pixels.
const (
	laneHeight = 26
	axisWidth  = 1600
	labelWidth = 160
)

// page is the data for pageTemplate.
type page struct {
	Lanes       []lane
	Events      []event.Event
	FailedNodes []string
	Width       int
	Height      int
	Label       int
	From        string
	To          string
}

// lane is the row of one process.
type lane struct {
	Instance string
	Top      int
	Marks    []mark
}

// mark is one event on a lane.
type mark struct {
	X     float64
	Color string
	Title string
}

// groupColors maps the group of an event, its number divided by groupSize, to the
// color of its marks.
var groupColors = map[int]string{
	1: "#555555",
	2: "#1f77b4",
	3: "#2ca02c",
	4: "#d62728",
	5: "#bbbbbb",
	6: "#9467bd",
	7: "#ff7f0e",
	8: "#8c564b",
	9: "#e377c2",
}

// groupSize is the size of the number range of each group of events.
const groupSize = 100

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lagoonbarrow timeline</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; font: 12px monospace; }
td { padding: 1px 8px; vertical-align: top; }
text { font: 12px sans-serif; }
</style></head><body>
<h1>Timeline</h1>
<p>{{.From}} to {{.To}}, {{len .Lanes}} processes, {{len .Events}} events.
{{if .FailedNodes}}No answer from: {{range .FailedNodes}}{{.}} {{end}}{{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img">
{{$label := .Label}}{{$width := .Width}}
{{range .Lanes}}<text x="0" y="{{.Top}}" dy="4">{{.Instance}}</text>
<line x1="{{$label}}" x2="{{$width}}" y1="{{.Top}}" y2="{{.Top}}" stroke="#dddddd"/>
{{$top := .Top}}{{range .Marks}}<circle cx="{{.X}}" cy="{{$top}}" r="4" fill="{{.Color}}"><title>{{.Title}}</title></circle>
{{end}}{{end}}</svg>
<table>
{{range .Events}}<tr><td>{{.Stamp.Time.UTC.Format "15:04:05.000000"}}</td><td>{{.Instance}}</td><td>{{.Number}}</td><td>{{.Name}}</td>
<td>{{.Fields.Request}}</td><td>{{.Fields.Customer}}</td><td>{{.Fields.Class}}</td><td>{{.Fields.Peer}}</td><td>{{.Fields.Detail}}</td></tr>
{{end}}</table></body></html>
`))

func renderPage(out io.Writer, events []event.Event, failedNodes []string) error {
	content := page{
		Events:      events,
		FailedNodes: failedNodes,
		Width:       labelWidth + axisWidth,
		Label:       labelWidth,
	}
	if len(events) > 0 {
		first := events[0].Stamp
		last := events[len(events)-1].Stamp
		content.From = first.Time().UTC().String()
		content.To = last.Time().UTC().String()
		content.Lanes = buildLanes(events, first.Wall, last.Wall)
	}
	content.Height = laneHeight * (len(content.Lanes) + 1)
	return pageTemplate.Execute(out, content)
}

// buildLanes groups the events by instance and scales their times to the axis.
func buildLanes(events []event.Event, first, last int64) []lane {
	marks := map[string][]mark{}
	span := float64(max(1, last-first))
	for _, e := range events {
		offset := float64(e.Stamp.Wall-first) / span
		marks[e.Instance] = append(marks[e.Instance], mark{
			X:     labelWidth + offset*(axisWidth-10),
			Color: groupColors[e.Number/groupSize],
			Title: e.Name + " " + fieldsText(e.Fields),
		})
	}
	var names []string
	for name := range marks {
		names = append(names, name)
	}
	sort.Strings(names)
	rows := make([]lane, 0, len(names))
	for position, name := range names {
		rows = append(rows, lane{
			Instance: name,
			Top:      laneHeight * (position + 1),
			Marks:    marks[name],
		})
	}
	return rows
}
