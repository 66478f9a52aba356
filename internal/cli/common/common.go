// Package common holds what the command line's commands and queries share:
// connections, addresses and output.
package common

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/platform"
)

// Flags of the whole command line.
const (
	FlagStore  = "store"
	FlagAdmin  = "admin"
	FlagOutput = "output"
)

// callTimeout bounds one call of the object API or of a VM.
const callTimeout = 5 * time.Second

// callsPerSecond is the command line's budget at the object API.
const callsPerSecond = 100

// Flags returns the flags of the whole command line.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: FlagStore, Value: "http://127.0.0.1:7000", Sources: cli.EnvVars("THREADWALL_STORE"),
			Usage: "base `URL` of the platform's object API",
		},
		&cli.StringSliceFlag{
			Name: FlagAdmin, Sources: cli.EnvVars("THREADWALL_ADMIN"),
			Usage: "admin `ADDR` (ip:port) of VMs to ask; without it, all in the platform's list",
		},
		&cli.StringFlag{
			Name: FlagOutput, Aliases: []string{"o"}, Value: "table", Usage: "print `FORMAT`: table or json",
			Validator: func(s string) error {
				if s != "table" && s != "json" {
					return eris.Errorf("output format %q is neither table nor json", s)
				}
				return nil
			},
		},
	}
}

// Store connects to the object API.
func Store(c *cli.Command) objectapi.Store {
	return objectapi.NewClient(c.String(FlagStore), callTimeout, objectapi.Budget{WritesPerSecond: callsPerSecond, ReadsPerSecond: callsPerSecond})
}

// Print writes v as JSON, or calls table, as the output flag says.
func Print(c *cli.Command, v any, table func(w io.Writer)) error {
	out := c.Root().Writer
	if out == nil {
		out = os.Stdout
	}
	if c.String(FlagOutput) == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return eris.Wrap(enc.Encode(v), "print")
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(t)
	return eris.Wrap(t.Flush(), "print")
}

// Row prints one row of a table.
func Row(w io.Writer, cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(parts, "\t"))
}

// VM is one VM to ask.
type VM struct{ Name, Admin string }

// VMs returns the VMs to ask: those of the flag, or all entry VMs in the
// platform's list.
func VMs(ctx context.Context, c *cli.Command) ([]VM, error) {
	var out []VM
	for _, a := range c.StringSlice(FlagAdmin) {
		out = append(out, VM{Name: a, Admin: a})
	}
	if len(out) > 0 {
		return out, nil
	}
	objects, _, err := Store(c).List(ctx, platform.Prefix)
	if err != nil {
		return nil, eris.Wrap(err, "read the platform's list of VMs (or name them with --admin)")
	}
	records, _ := platform.Decode(objects)
	for _, r := range records {
		if r.Role == platform.RoleEntry && r.AdminAddr != "" {
			out = append(out, VM{Name: r.ID, Admin: r.AdminAddr})
		}
	}
	if len(out) == 0 {
		return nil, eris.New("the platform lists no entry VM; name one with --admin")
	}
	return out, nil
}

// GetJSON reads JSON from a VM's admin interface.
func GetJSON(ctx context.Context, vm VM, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Admin+path, nil)
	if err != nil {
		return eris.Wrapf(err, "ask %s", vm.Name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "ask %s", vm.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("ask %s: status %d", vm.Name, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "ask %s", vm.Name)
}
