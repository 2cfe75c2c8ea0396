package cli

import (
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

func claimCommand() *cli.Command {
	return &cli.Command{
		Name:  "claim",
		Usage: "read and settle the idempotency key of a filing or payment order",
		Subcommands: []*cli.Command{
			{
				Name:      "show",
				Usage:     "print the state of a key",
				ArgsUsage: "CUSTOMER KEY",
				Flags:     adminFlags(),
				Action:    showClaim,
			},
			{
				Name:      "settle",
				Usage:     "settle a key whose holder died; first find out what the backend server did",
				ArgsUsage: "CUSTOMER KEY",
				Flags: adminFlags(
					&cli.StringFlag{
						Name:     "outcome",
						Usage:    "'ran' or 'not-run'",
						Required: true,
					},
					&cli.Uint64Flag{
						Name:     "version",
						Usage:    "row version `N` that 'claim show' printed",
						Required: true,
					},
				),
				Action: settleClaim,
			},
		},
	}
}

func claimPath(context *cli.Context) (string, error) {
	if context.NArg() != 2 {
		return "", errors.Wrapf(lagoonbarrow.ErrInvalid, "%s takes two arguments, CUSTOMER and KEY", context.Command.FullName())
	}
	return "/v1/claims/" + url.PathEscape(context.Args().Get(0)) + "/" + url.PathEscape(context.Args().Get(1)), nil
}

func showClaim(context *cli.Context) error {
	path, err := claimPath(context)
	if err != nil {
		return err
	}
	return printDocument(context, path)
}

// settleRequest is the body of a request to settle a claim.
type settleRequest struct {
	Ran      bool                    `json:"ran"`
	Expected lagoonbarrow.RowVersion `json:"expected"`
}

func settleClaim(context *cli.Context) error {
	path, err := claimPath(context)
	if err != nil {
		return err
	}
	outcome := context.String("outcome")
	if outcome != "ran" && outcome != "not-run" {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "outcome %q is neither 'ran' nor 'not-run'", outcome)
	}
	body, err := json.Marshal(settleRequest{
		Ran:      outcome == "ran",
		Expected: lagoonbarrow.RowVersion(context.Uint64("version")),
	})
	if err != nil {
		return err
	}
	response, err := newAdminClient(context).call(fasthttp.MethodPost, path, body, lagoonbarrow.HeaderField{})
	if err != nil {
		return err
	}
	if err := response.failure(); err != nil {
		return err
	}
	fmt.Fprintln(context.App.Writer, "settled: "+outcome)
	return nil
}
