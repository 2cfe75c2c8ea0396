package command

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"lagoonbarrow"
)

// requestTimeout bounds one request.
const requestTimeout = 30 * time.Second

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a customer's requests at a constant rate, whatever the answers, and print the number of each answer",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "entries",
				Usage:    "entry addresses, `IP:PORT` separated by commas",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "key",
				Usage:    "the customer's API `KEY`",
				Required: true,
			},
			&cli.StringFlag{
				Name:  "path",
				Usage: "`PATH` to which the number of each request is appended",
				Value: "/minutes/",
			},
			&cli.Float64Flag{
				Name:  "rate",
				Usage: "`N` requests a second",
				Value: 100,
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "`TIME` during which requests are sent",
				Value: 10 * time.Second,
			},
		},
		Action: runLoad,
	}
}

// answerCounts counts answers by their description.
type answerCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *answerCounts) add(answer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[answer]++
}

func runLoad(flags *cli.Context) error {
	rate := flags.Float64("rate")
	if rate <= 0 {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "the rate must be above 0")
	}
	entries := strings.Split(flags.String("entries"), ",")
	client := &http.Client{
		Timeout: requestTimeout,
	}
	counts := &answerCounts{
		counts: map[string]int{},
	}
	var pending sync.WaitGroup
	started := time.Now()
	count := int(rate * flags.Duration("duration").Seconds())
	for number := range count {
		due := started.Add(time.Duration(float64(number) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		target := fmt.Sprintf("http://%s%s%d", entries[number%len(entries)], flags.String("path"), number)
		pending.Add(1)
		go func() {
			defer pending.Done()
			counts.add(fetch(client, target, flags.String("key")))
		}()
	}
	pending.Wait()
	counts.print(flags.App.Writer)
	return nil
}

// fetch sends one request and returns the status, outcome and reason of its answer,
// or a description of the failure.
func fetch(client *http.Client, target, key string) string {
	request, err := http.NewRequest(http.MethodGet, target, nil)
	if err != nil {
		return "not sent"
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "partial answer"
	}
	return fmt.Sprintf(
		"%d %s %s", response.StatusCode,
		response.Header.Get(lagoonbarrow.HeaderOutcome),
		response.Header.Get(lagoonbarrow.HeaderReason),
	)
}

func (a *answerCounts) print(out io.Writer) {
	var lines []string
	for answer, count := range a.counts {
		lines = append(lines, fmt.Sprintf("%8d  %s", count, answer))
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}
