// Package queries implements the subcommands that only read: objects, the status of VMs,
// timelines and explanations of requests.
package queries

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/apply"
	"github.com/threadwall/threadwall/internal/cli/common"
	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// listedObject is an object as "threadwall get" prints it.
type listedObject struct {
	Kind    string             `json:"kind"`
	Name    string             `json:"name"`
	Version objectapi.Revision `json:"version"`
	Bytes   int                `json:"bytes"`
	Reason  string             `json:"rejected,omitempty"`
	Object  json.RawMessage    `json:"object,omitempty"`
}

// Get returns the command "threadwall get".
func Get() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "list objects, or print one",
		ArgsUsage: "[KIND [NAME]]",
		Action: func(ctx context.Context, c *cli.Command) error {
			prefix := config.Prefix
			if c.Args().Len() > 0 {
				prefix += c.Args().Get(0) + "/"
			}
			single := c.Args().Len() > 1
			if single {
				prefix += c.Args().Get(1)
			}
			list, err := readObjects(ctx, c, prefix, single)
			if err != nil {
				return err
			}
			return common.Print(c, list, func(w io.Writer) { printObjects(w, list, single) })
		},
	}
}

func readObjects(ctx context.Context, c *cli.Command, prefix string, single bool) ([]listedObject, error) {
	objects, rev, err := common.Store(c).List(ctx, config.Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	rejected := config.Compile(rev, objects).Rejected
	var out []listedObject
	for _, o := range objects {
		if !strings.HasPrefix(o.Key, prefix) || single && o.Key != prefix {
			continue
		}
		kind, name, _ := strings.Cut(strings.TrimPrefix(o.Key, config.Prefix), "/")
		s := listedObject{Kind: kind, Name: name, Version: o.Version, Bytes: len(o.Value), Reason: rejected[o.Key]}
		if single {
			s.Object = o.Value
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, eris.Errorf("no object at %s", prefix)
	}
	return out, nil
}

func printObjects(w io.Writer, list []listedObject, single bool) {
	if single {
		var b bytes.Buffer
		_ = json.Indent(&b, list[0].Object, "", "  ")
		common.Row(w, b.String())
		return
	}
	common.Row(w, "KIND", "NAME", "VERSION", "BYTES", "REJECTED")
	for _, s := range list {
		common.Row(w, s.Kind, s.Name, s.Version, s.Bytes, s.Reason)
	}
}

// Diff returns the command "threadwall diff".
func Diff() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "show what applying files would change",
		Flags: []cli.Flag{&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "read objects from `PATH`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			objects, err := apply.ReadPath(c.String("file"))
			if err != nil {
				return err
			}
			plan, err := apply.NewPlan(ctx, common.Store(c), objects)
			if err != nil {
				return err
			}
			return common.Print(c, plan.Changes, func(w io.Writer) {
				for _, ch := range plan.Changes {
					if ch.Action != apply.Unchanged {
						common.Row(w, fmt.Sprintf("%s/%s: %s", ch.Kind, ch.Name, ch.Action))
						printLines(w, lines(ch.Before), lines(ch.After))
					}
				}
			})
		},
	}
}

func lines(object []byte) []string {
	var b bytes.Buffer
	if len(object) == 0 || json.Indent(&b, object, "", "  ") != nil {
		return nil
	}
	return strings.Split(b.String(), "\n")
}

// maxLineWidth is the number of bytes of a line that are printed, since documents can be long.
const maxLineWidth = 160

// printLines prints the lines that occur in only one of two objects. It compares lines as a
// multiset, regardless of their order.
func printLines(w io.Writer, before, after []string) {
	count := map[string]int{}
	for _, l := range before {
		count[l]++
	}
	for _, l := range after {
		count[l]--
	}
	for _, l := range before {
		if count[l] > 0 {
			count[l]--
			common.Row(w, "- "+l[:min(len(l), maxLineWidth)])
		}
	}
	for _, l := range after {
		if count[l] < 0 {
			count[l]++
			common.Row(w, "+ "+l[:min(len(l), maxLineWidth)])
		}
	}
}
