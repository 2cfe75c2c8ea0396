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

// loadTimeout bounds one request of the load.
const loadTimeout = 30 * time.Second

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "customers' requests at a steady rate, whatever the answers; prints how many got which answer",
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
				Usage: "`PATH` that each request's number is added to",
				Value: "/minutes/",
			},
			&cli.Float64Flag{
				Name:  "rate",
				Usage: "`N` requests a second",
				Value: 100,
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "`TIME` to send requests",
				Value: 10 * time.Second,
			},
		},
		Action: runLoad,
	}
}

// answers counts the answers of a load.
type answers struct {
	mu     sync.Mutex
	counts map[string]int
}

func (a *answers) add(answer string) {
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
		Timeout: loadTimeout,
	}
	heard := &answers{
		counts: map[string]int{},
	}
	var pending sync.WaitGroup
	started := time.Now()
	count := int(rate * flags.Duration("duration").Seconds())
	for number := range count {
		due := started.Add(time.Duration(float64(number) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		address := fmt.Sprintf("http://%s%s%d", entries[number%len(entries)], flags.String("path"), number)
		pending.Add(1)
		go func() {
			defer pending.Done()
			heard.add(fetch(client, address, flags.String("key")))
		}()
	}
	pending.Wait()
	heard.print(flags.App.Writer)
	return nil
}

// fetch sends one request and describes its answer.
func fetch(client *http.Client, address, key string) string {
	request, err := http.NewRequest(http.MethodGet, address, nil)
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

func (a *answers) print(out io.Writer) {
	var lines []string
	for answer, count := range a.counts {
		lines = append(lines, fmt.Sprintf("%8d  %s", count, answer))
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
}
