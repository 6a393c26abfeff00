package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/daisyrack/daisyrack/internal/front"
)

const (
	defaultEntry     = "http://127.0.0.1:7070"
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

func clientFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Value: defaultEntry, Usage: "base `URL` of any entry instance", Sources: cli.EnvVars("DAISYRACK_ENTRY")},
		&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("DAISYRACK_TOKEN_FILE")},
		&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
	}, extra...)
}

// client calls the operator API of an entry instance.
type client struct {
	baseURL string
	token   string
	author  string
}

func newClient(cmd *cli.Command) (*client, error) {
	c := &client{baseURL: strings.TrimRight(cmd.String("entry"), "/"), author: authorName()}
	if file := cmd.String("token-file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "unable to read token")
		}
		c.token = strings.TrimSpace(string(text))
	}
	return c, nil
}

func authorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// call sends a request and decodes the JSON response into response, whatever its
// status except 401. Into a *[]byte the body is stored undecoded.
func (c *client) call(ctx context.Context, method, path string, body, response any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := encodeBody(body)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(text))
	if err != nil {
		return 0, errors.Wrap(err, "unable to build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(front.HeaderAuthor, c.author)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "unable to reach %s; name another entry instance with --entry", c.baseURL)
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, decodeResponse(res, response)
}

func encodeBody(body any) ([]byte, error) {
	switch b := body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return b, nil
	default:
		text, err := json.Marshal(b)
		return text, errors.Wrap(err, "unable to encode request")
	}
}

func decodeResponse(res *http.Response, response any) error {
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "unable to read answer")
	}
	if res.StatusCode == http.StatusUnauthorized {
		return errors.New("the operators' token is missing or wrong; give it with --token-file")
	}
	if raw, ok := response.(*[]byte); ok {
		*raw = text
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, response), "unable to decode answer with status %d", res.StatusCode)
}

// printJSON prints v as indented JSON.
func printJSON(v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "unable to encode output")
	}
	_, err = fmt.Println(string(text))
	return err
}

// printRaw prints the JSON response of an entry instance unchanged except for
// indentation.
func printRaw(text []byte) error {
	var buf bytes.Buffer
	if err := json.Indent(&buf, text, "", "  "); err != nil {
		return errors.Wrap(err, "unable to format output")
	}
	_, err := fmt.Println(buf.String())
	return err
}
