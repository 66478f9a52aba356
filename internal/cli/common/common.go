// Package common holds the code that the command line's commands and queries share: global
// flags, access to the object API and to VMs, and output.
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

// Names of the global flags.
const (
	FlagStore  = "store"
	FlagAdmin  = "admin"
	FlagOutput = "output"
)

// callTimeout limits one call to the object API or to a VM.
const callTimeout = 5 * time.Second

// callsPerSecond limits reads from the object API and, separately, writes to it.
const callsPerSecond = 100

// Flags returns the global flags of the command line.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: FlagStore, Value: "http://127.0.0.1:7000", Sources: cli.EnvVars("THREADWALL_STORE"),
			Usage: "base `URL` of the platform's object API",
		},
		&cli.StringSliceFlag{
			Name: FlagAdmin, Sources: cli.EnvVars("THREADWALL_ADMIN"),
			Usage: "admin `ADDR` (ip:port) of the VMs to query (default: all entry VMs in the platform's list)",
		},
		&cli.StringFlag{
			Name: FlagOutput, Aliases: []string{"o"}, Value: "table", Usage: "print `FORMAT`: table or json",
			Validator: func(s string) error {
				if s != "table" && s != "json" {
					return eris.Errorf("output format is %q; it must be table or json", s)
				}
				return nil
			},
		},
	}
}

// Store returns a client of the object API at the address in the store flag.
func Store(c *cli.Command) objectapi.Store {
	return objectapi.NewClient(c.String(FlagStore), callTimeout, objectapi.Budget{WritesPerSecond: callsPerSecond, ReadsPerSecond: callsPerSecond})
}

// Print writes v as indented JSON, or the rows that table prints as an aligned table, depending
// on the output flag.
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

// Row prints one row of a table, with its cells separated by tabs.
func Row(w io.Writer, values ...any) {
	parts := make([]string, len(values))
	for i, c := range values {
		parts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(w, strings.Join(parts, "\t"))
}

// VM is the name and the admin address of a VM to query.
type VM struct{ Name, Admin string }

// VMs returns the VMs to query: those of the admin flag or, without it, all entry VMs in the
// platform's list that have an admin address. It returns an error if there are none.
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
		return nil, eris.Wrap(err, "read the platform's list of VMs (use --admin to specify VMs)")
	}
	records, _ := platform.Decode(objects)
	for _, r := range records {
		if r.Role == platform.RoleEntry && r.AdminAddr != "" {
			out = append(out, VM{Name: r.ID, Admin: r.AdminAddr})
		}
	}
	if len(out) == 0 {
		return nil, eris.New("the platform lists no entry VM; specify one with --admin")
	}
	return out, nil
}

// GetJSON requests path from a VM's admin interface and decodes the JSON response into the value
// that into points to. It fails unless the VM responds with status 200 within callTimeout.
func GetJSON(ctx context.Context, vm VM, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Admin+path, nil)
	if err != nil {
		return eris.Wrapf(err, "query VM %s", vm.Name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "query VM %s", vm.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("query VM %s: status %d", vm.Name, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decode response of VM %s", vm.Name)
}
