// Command threadwall is the operators' and callers' command line.
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
		Usage:                 "declare templates and workspaces, and see what the router does",
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
