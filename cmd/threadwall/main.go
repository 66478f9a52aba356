// Command threadwall is the command line for operators and callers: it applies and reads
// configuration, shows the state of VMs and requests, records orders, and sends requests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/cli/commands"
	"github.com/threadwall/threadwall/internal/cli/common"
	"github.com/threadwall/threadwall/internal/cli/queries"
)

func main() {
	app := &cli.Command{
		Name:                  "threadwall",
		Usage:                 "manage templates and workspaces, and inspect the router",
		EnableShellCompletion: true,
		Flags:                 common.Flags(),
		Commands: []*cli.Command{
			commands.Apply(), queries.Diff(), queries.Get(), commands.Delete(),
			queries.Status(), queries.Timeline(), queries.Explain(),
			commands.Order(), commands.Ask(), commands.Call(),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "threadwall:", err)
		os.Exit(1)
	}
}
