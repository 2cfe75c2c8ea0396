package cli

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/responsehead"
)

// requestTimeout bounds one request to a node's administration API.
const requestTimeout = 10 * time.Second

// adminFlags returns the flags for the node's address and the operator's
// credential, followed by extra.
func adminFlags(extra ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{
			Name:     "admin",
			Usage:    "administration address of any node, `IP:PORT`",
			EnvVars:  []string{"LAGOONBARROW_ADMIN"},
			Required: true,
		},
		&cli.StringFlag{
			Name:     "token",
			Usage:    "operator's `CREDENTIAL`",
			EnvVars:  []string{"LAGOONBARROW_TOKEN"},
			Required: true,
		},
	}
	return append(flags, extra...)
}

// adminClient sends requests to a node's administration API.
type adminClient struct {
	address string
	token   string
	http    *fasthttp.Client
}

func newAdminClient(context *cli.Context) *adminClient {
	return &adminClient{
		address: context.String("admin"),
		token:   context.String("token"),
		http:    newHTTPClient(),
	}
}

// newHTTPClient returns a client that takes no response whose status HTTP doesn't allow.
func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.Dial(address)
			if err != nil {
				return nil, err
			}
			return responsehead.NewConn(conn), nil
		},
	}
}

// withAddress returns a client for another node with the same credential.
func (c *adminClient) withAddress(address lagoonbarrow.Address) *adminClient {
	return &adminClient{
		address: string(address),
		token:   c.token,
		http:    c.http,
	}
}

// adminResponse is a response of the administration API.
type adminResponse struct {
	status int
	etag   string
	body   []byte
}

// call sends a request. precondition is a header field such as If-Match, or empty.
func (c *adminClient) call(method, path string, body []byte, precondition lagoonbarrow.HeaderField) (adminResponse, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.SetMethod(method)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	if precondition.Name != "" {
		request.Header.Set(precondition.Name, precondition.Value)
	}
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.http.DoTimeout(request, response, requestTimeout); err != nil {
		return adminResponse{}, errors.Wrapf(err, "send request to node %s", c.address)
	}
	return adminResponse{
		status: response.StatusCode(),
		etag:   string(response.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), response.Body()...),
	}, nil
}

// get requests a JSON document and decodes it into target.
func (c *adminClient) get(path string, target any) error {
	response, err := c.call(fasthttp.MethodGet, path, nil, lagoonbarrow.HeaderField{})
	if err != nil {
		return err
	}
	if err := response.failure(); err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(response.body, target), "decode response of node %s", c.address)
}

// failure returns the error for the status of a response, or nil if it succeeded.
func (r adminResponse) failure() error {
	if r.status < http.StatusBadRequest {
		return nil
	}
	text := string(r.body)
	switch r.status {
	case http.StatusBadRequest:
		return errors.Wrap(lagoonbarrow.ErrInvalid, text)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return errors.Wrap(lagoonbarrow.ErrConflict, text)
	case http.StatusNotFound:
		return errors.Wrap(lagoonbarrow.ErrNotFound, text)
	case http.StatusUnauthorized, http.StatusForbidden:
		return errors.Wrap(lagoonbarrow.ErrUnauthenticated, text)
	case http.StatusServiceUnavailable:
		return errors.Wrap(lagoonbarrow.ErrUnavailable, text)
	case http.StatusGatewayTimeout:
		return errors.Wrap(lagoonbarrow.ErrOutcomeUnknown, text)
	default:
		return errors.Errorf("status %d: %s", r.status, text)
	}
}
