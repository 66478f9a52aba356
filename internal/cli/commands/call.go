package commands

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/gateway"
	"github.com/threadwall/threadwall/internal/services"
)

func entryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "entry", Value: "http://127.0.0.1:7051", Sources: cli.EnvVars("THREADWALL_ENTRY"), Usage: "base `URL` of a VM's interface for callers"},
		&cli.StringFlag{Name: "key", Required: true, Sources: cli.EnvVars("THREADWALL_KEY"), Usage: "the workspace's API `KEY`"},
	}
}

// Ask returns the command "threadwall ask".
func Ask() *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "send a prompt to a template or model, and stream the response",
		ArgsUsage: "TEXT",
		// A parameter's value may contain commas.
		DisableSliceFlagSeparator: true,
		Flags: append(entryFlags(),
			&cli.StringFlag{Name: "template", Usage: "use the template `NAME`"},
			&cli.StringFlag{Name: "model", Usage: "use the model `NAME` directly"},
			&cli.StringMapFlag{Name: "param", Usage: "a parameter of the template, as `NAME=VALUE`"},
		),
		Action: ask,
	}
}

type chatRequest struct {
	Model    string            `json:"model"`
	Messages []chatMessage     `json:"messages"`
	Metadata map[string]string `json:"metadata,omitempty"`
	Stream   bool              `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func ask(ctx context.Context, c *cli.Command) error {
	model := c.String("model")
	if t := c.String("template"); t != "" {
		model = "template:" + t
	}
	if model == "" || c.Args().Len() == 0 {
		return eris.New("ask requires --template or --model, and a text")
	}
	body, err := json.Marshal(chatRequest{
		Model: model, Stream: true, Metadata: c.StringMap("param"),
		Messages: []chatMessage{{Role: "user", Content: strings.Join(c.Args().Slice(), " ")}},
	})
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	resp, err := post(ctx, c, "/v1/chat/completions", body, "")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := printStream(c.Root().Writer, resp.Body); err != nil {
		return eris.Wrapf(err, "request %s", resp.Header.Get(gateway.HeaderRequestID))
	}
	_, _ = fmt.Fprintf(c.Root().ErrWriter, "request %s, target %s\n", resp.Header.Get(gateway.HeaderRequestID), resp.Header.Get(gateway.HeaderTarget))
	return nil
}

// printStream prints the text of a streamed response. It fails if the stream reports an error or
// ends without "[DONE]".
func printStream(w io.Writer, r io.Reader) error {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	failed := false
	for scan.Scan() {
		failed = failed || scan.Text() == "event: error"
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		switch {
		case !ok:
		case failed:
			return eris.Errorf("the response ended before it was complete: %s", data)
		case data == "[DONE]":
			_, _ = fmt.Fprintln(w)
			return nil
		default:
			_, _ = fmt.Fprint(w, deltaContent(data))
		}
	}
	return eris.New("the response ended before it was complete")
}

func deltaContent(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func post(ctx context.Context, c *cli.Command, path string, body []byte, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.String("entry")+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.GetBody = nil // keeps the HTTP transport from retrying the call by itself
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.String("key"))
	if idempotencyKey != "" {
		req.Header.Set(services.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "send request to %s", c.String("entry"))
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return nil, eris.Errorf("status %d, outcome %s: %s", resp.StatusCode, resp.Header.Get(gateway.HeaderOutcome), strings.TrimSpace(string(text)))
	}
	return resp, nil
}

// Call returns the command "threadwall call".
func Call() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "call a plain service, with at-most-once execution",
		ArgsUsage: "SERVICE PATH [BODY]",
		Flags: append(entryFlags(), &cli.StringFlag{
			Name: "idempotency-key", Usage: "the call's idempotency `KEY`; to retry a call, use the key of the first attempt (default: a new UUIDv7, which is printed)",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return eris.New("call requires a service and a path, for example: threadwall call booking /bookings '{\"drum\":\"D-7\"}'")
			}
			key := c.String("idempotency-key")
			if key == "" {
				id, err := uuid.NewV7()
				if err != nil {
					return eris.Wrap(err, "generate idempotency key")
				}
				key = id.String()
			}
			_, _ = fmt.Fprintln(c.Root().ErrWriter, "idempotency key", key)
			resp, err := post(ctx, c, "/v1/services/"+c.Args().Get(0)+c.Args().Get(1), []byte(c.Args().Get(2)), key)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(c.Root().Writer, resp.Body)
			return eris.Wrap(err, "read response")
		},
	}
}
