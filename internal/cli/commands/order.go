package commands

import (
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/threadwall/threadwall/internal/apply"
	"github.com/threadwall/threadwall/internal/cli/common"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
)

// Order returns the command "threadwall order".
func Order() *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "record the desired state of engines; the lease holder of their failure domain applies it",
		ArgsUsage: "TARGET...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "weights", Usage: "serve the weights `VERSION`"},
			&cli.StringFlag{Name: "serve", Usage: "\"drain\" stops accepting new requests, \"on\" accepts them again"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return eris.New("order requires at least one target")
			}
			desired := orders.DesiredState{Weights: ids.WeightsVersion(c.String("weights")), Serve: orders.Serve(c.String("serve"))}
			if desired.Serve != "" && desired.Serve != orders.ServeOn && desired.Serve != orders.ServeDrain {
				return eris.Errorf("--serve is %q; it must be \"on\" or \"drain\"", desired.Serve)
			}
			var written []orders.Intent
			for _, t := range c.Args().Slice() {
				intent := orders.Intent{Target: ids.Target(t), Desired: desired}
				if err := writeIntent(ctx, common.Store(c), intent); err != nil {
					return err
				}
				written = append(written, intent)
			}
			return common.Print(c, written, func(w io.Writer) {
				common.Row(w, "TARGET", "WEIGHTS", "SERVE")
				for _, i := range written {
					common.Row(w, i.Target, i.Desired.Weights, i.Desired.Serve)
				}
			})
		},
	}
}

// writeIntent creates or updates a target's intent. The write is conditional on the version
// that was read; a concurrent change results in an apply.ConflictError.
func writeIntent(ctx context.Context, s objectapi.Store, i orders.Intent) error {
	key := orders.Prefix + string(i.Target)
	value, err := json.Marshal(i)
	if err != nil {
		return eris.Wrap(err, "encode intent")
	}
	matches := func(stored []byte) bool { return string(stored) == string(value) }
	old, err := s.Get(ctx, key)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		_, err = objectapi.ResolveCreate(ctx, s, key, value, matches)
	case err == nil:
		_, err = objectapi.ResolveUpdate(ctx, s, key, value, old.Version, matches)
	}
	if errors.Is(err, objectapi.ErrExists) || errors.Is(err, objectapi.ErrConflict) {
		return &apply.ConflictError{Key: key}
	}
	return eris.Wrapf(err, "record order for %s", i.Target)
}
