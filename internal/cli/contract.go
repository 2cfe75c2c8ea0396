package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/admin"
	"lagoonbarrow/internal/version/contract"
)

// rolloutPollInterval is the pause between two requests for the state of a rollout.
const rolloutPollInterval = 100 * time.Millisecond

func contractCommand() *cli.Command {
	wait := &cli.DurationFlag{
		Name:  "wait",
		Usage: "wait up to `DURATION` until the change is in force on every node",
	}
	return &cli.Command{
		Name:  "contract",
		Usage: "create, change, read and retire contracts",
		Subcommands: []*cli.Command{
			{
				Name:      "apply",
				Usage:     "create or change a contract; '-' reads standard input",
				ArgsUsage: "FILE",
				Flags: adminFlags(
					&cli.Uint64Flag{
						Name:  "version",
						Usage: "change only if the current version is `N`, 0 to create; by default, the version read just before the change",
					},
					wait,
				),
				Action: applyContract,
			},
			{
				Name:      "show",
				Usage:     "print a contract",
				ArgsUsage: "CUSTOMER",
				Flags:     adminFlags(),
				Action:    showContract,
			},
			{
				Name:   "list",
				Usage:  "print the customers and versions of all contracts",
				Flags:  adminFlags(),
				Action: listContracts,
			},
			{
				Name:      "retire",
				Usage:     "end a contract",
				ArgsUsage: "CUSTOMER",
				Flags:     adminFlags(wait),
				Action:    retireContract,
			},
			{
				Name:      "rollout",
				Usage:     "print on which nodes the latest version is in force",
				ArgsUsage: "CUSTOMER",
				Flags:     adminFlags(),
				Action:    showRollout,
			},
		},
	}
}

func contractPath(customer lagoonbarrow.CustomerID) string {
	return "/v1/contracts/" + url.PathEscape(string(customer))
}

func applyContract(context *cli.Context) error {
	file, err := argument(context, "FILE")
	if err != nil {
		return err
	}
	text, err := readFile(file)
	if err != nil {
		return err
	}
	parsed, err := contract.Decode(text)
	if err != nil {
		return err
	}
	client := newAdminClient(context)
	path := contractPath(parsed.Customer)
	condition, err := client.precondition(path, context)
	if err != nil {
		return err
	}
	response, err := client.call(fasthttp.MethodPut, path, text, condition)
	if err != nil {
		return err
	}
	return client.reportChange(context, path, response)
}

// precondition returns If-Match with the version from the flag or, without the
// flag, with the current version. To create a contract it returns If-None-Match.
func (c *adminClient) precondition(path string, context *cli.Context) (lagoonbarrow.HeaderField, error) {
	etag := fmt.Sprintf("%q", fmt.Sprint(context.Uint64("version")))
	create := context.IsSet("version") && context.Uint64("version") == 0
	if !context.IsSet("version") {
		current, err := c.call(fasthttp.MethodGet, path, nil, lagoonbarrow.HeaderField{})
		if err != nil {
			return lagoonbarrow.HeaderField{}, err
		}
		create = current.status == fasthttp.StatusNotFound && current.etag == ""
		etag = current.etag
		if failure := current.failure(); failure != nil && !errors.Is(failure, lagoonbarrow.ErrNotFound) {
			return lagoonbarrow.HeaderField{}, failure
		}
	}
	if create {
		return lagoonbarrow.HeaderField{
			Name:  fasthttp.HeaderIfNoneMatch,
			Value: "*",
		}, nil
	}
	return lagoonbarrow.HeaderField{
		Name:  fasthttp.HeaderIfMatch,
		Value: etag,
	}, nil
}

// reportChange prints an accepted change and, with --wait, waits for its rollout.
func (c *adminClient) reportChange(context *cli.Context, path string, response adminResponse) error {
	if err := response.failure(); err != nil {
		return err
	}
	var record lagoonbarrow.ContractRecord
	if err := json.Unmarshal(response.body, &record); err != nil {
		return errors.Wrap(err, "decode accepted contract")
	}
	fmt.Fprintf(context.App.Writer, "accepted: %s version %d, revision %d\n", record.Customer, record.Version, record.Revision)
	if context.Duration("wait") == 0 {
		return nil
	}
	return c.awaitRollout(context, path, record.Revision)
}

func (c *adminClient) awaitRollout(context *cli.Context, path string, revision lagoonbarrow.Revision) error {
	started := time.Now()
	for {
		var state admin.Rollout
		err := c.get(path+"/rollout", &state)
		if err == nil && state.Complete && state.Revision >= revision {
			fmt.Fprintf(context.App.Writer, "in force on all %d nodes after %s\n", state.Live, time.Since(started).Round(time.Millisecond))
			return nil
		}
		if time.Since(started) > context.Duration("wait") {
			if err != nil {
				return err
			}
			return errors.Errorf("not in force everywhere after %s: %s", context.Duration("wait"), nodesBehind(state))
		}
		time.Sleep(rolloutPollInterval)
	}
}

// nodesBehind lists the nodes on which the change is not in force or that did not
// respond.
func nodesBehind(state admin.Rollout) string {
	var names []string
	for _, node := range append(state.Behind, state.NoAnswer...) {
		names = append(names, string(node.Instance))
	}
	return strings.Join(names, ", ")
}

func showContract(context *cli.Context) error {
	customer, err := argument(context, "CUSTOMER")
	if err != nil {
		return err
	}
	return printDocument(context, contractPath(lagoonbarrow.CustomerID(customer)))
}

func showRollout(context *cli.Context) error {
	customer, err := argument(context, "CUSTOMER")
	if err != nil {
		return err
	}
	return printDocument(context, contractPath(lagoonbarrow.CustomerID(customer))+"/rollout")
}

// printDocument prints a JSON document of the administration API, indented.
func printDocument(context *cli.Context, path string) error {
	var document json.RawMessage
	if err := newAdminClient(context).get(path, &document); err != nil {
		return err
	}
	encoder := json.NewEncoder(context.App.Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

func listContracts(context *cli.Context) error {
	var records []lagoonbarrow.ContractRecord
	if err := newAdminClient(context).get("/v1/contracts", &records); err != nil {
		return err
	}
	for _, record := range records {
		state := "in force"
		if record.Retired {
			state = "retired"
		}
		fmt.Fprintf(context.App.Writer, "%-30s version %-6d revision %-8d %s\n", record.Customer, record.Version, record.Revision, state)
	}
	return nil
}

func retireContract(context *cli.Context) error {
	customer, err := argument(context, "CUSTOMER")
	if err != nil {
		return err
	}
	client := newAdminClient(context)
	path := contractPath(lagoonbarrow.CustomerID(customer))
	current, err := client.call(fasthttp.MethodGet, path, nil, lagoonbarrow.HeaderField{})
	if err != nil {
		return err
	}
	if err := current.failure(); err != nil {
		return err
	}
	response, err := client.call(fasthttp.MethodDelete, path, nil, lagoonbarrow.HeaderField{
		Name:  fasthttp.HeaderIfMatch,
		Value: current.etag,
	})
	if err != nil {
		return err
	}
	return client.reportChange(context, path, response)
}

// readFile reads a file, or standard input if path is "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "%v", err)
	}
	return text, nil
}

func hashKeyCommand() *cli.Command {
	return &cli.Command{
		Name:  "hash-key",
		Usage: "read a customer's API key from standard input and print its hash for key-hashes",
		Action: func(context *cli.Context) error {
			text, err := io.ReadAll(os.Stdin)
			if err != nil {
				return errors.Wrap(err, "read key")
			}
			sum := sha256.Sum256([]byte(strings.TrimSpace(string(text))))
			fmt.Fprintln(context.App.Writer, hex.EncodeToString(sum[:]))
			return nil
		},
	}
}
