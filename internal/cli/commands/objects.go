// Package commands implements the subcommands that change state: they apply and delete objects,
// record orders, and send requests.
package commands

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/apply"
	"github.com/threadwall/threadwall/internal/cli/common"
	"github.com/threadwall/threadwall/internal/config"
)

// Apply returns the command "threadwall apply".
func Apply() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "apply documents, templates and workspaces from files",
		Description: "All objects are validated before the first is written. A write succeeds only if the object still has\n" +
			"the version that was read; otherwise the command fails and keeps the other writer's change.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "read objects from `PATH`, a file or a directory"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only print what would change"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			objects, err := apply.ReadPath(c.String("file"))
			if err != nil {
				return err
			}
			store := common.Store(c)
			plan, err := apply.NewPlan(ctx, store, objects)
			if err != nil {
				return err
			}
			done := plan.Changes
			if !c.Bool("dry-run") {
				done, err = plan.Run(ctx, store)
			}
			if perr := printChanges(c, done); perr != nil {
				return perr
			}
			return err
		},
	}
}

func printChanges(c *cli.Command, changes []apply.Change) error {
	return common.Print(c, changes, func(w io.Writer) {
		common.Row(w, "KIND", "NAME", "ACTION", "VERSION")
		for _, x := range changes {
			common.Row(w, x.Kind, x.Name, x.Action, x.Version)
		}
	})
}

// Delete returns the command "threadwall delete".
func Delete() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete an object that no other object refers to",
		ArgsUsage: "KIND NAME",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return eris.New("delete requires a kind and a name, for example: threadwall delete template check-contract")
			}
			kind, name := config.Kind(c.Args().Get(0)), c.Args().Get(1)
			if err := apply.Delete(ctx, common.Store(c), kind, name); err != nil {
				return err
			}
			return printChanges(c, []apply.Change{{Kind: kind, Name: name, Action: apply.Deleted}})
		},
	}
}
