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

// Order returns "threadwall order".
func Order() *cli.Command {
	return &cli.Command{
		Name:      "order",
		Usage:     "record what engines are to serve; the failure domain's holder of the lease brings them there",
		ArgsUsage: "TARGET...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "weights", Usage: "serve the weights `VERSION`"},
			&cli.StringFlag{Name: "serve", Usage: "\"drain\" takes no new work, \"on\" takes it again"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return eris.New("order needs at least one target")
			}
			want := orders.DesiredState{Weights: ids.WeightsVersion(c.String("weights")), Serve: orders.Serve(c.String("serve"))}
			if want.Serve != "" && want.Serve != orders.ServeOn && want.Serve != orders.ServeDrain {
				return eris.Errorf("--serve is %q; it must be \"on\" or \"drain\"", want.Serve)
			}
			var done []orders.Intent
			for _, t := range c.Args().Slice() {
				intent := orders.Intent{Target: ids.Target(t), Desired: want}
				if err := record(ctx, common.Store(c), intent); err != nil {
					return err
				}
				done = append(done, intent)
			}
			return common.Print(c, done, func(w io.Writer) {
				common.Row(w, "TARGET", "WEIGHTS", "SERVE")
				for _, i := range done {
					common.Row(w, i.Target, i.Desired.Weights, i.Desired.Serve)
				}
			})
		},
	}
}

// record writes an intent, conditional on what was read.
func record(ctx context.Context, s objectapi.Store, i orders.Intent) error {
	key := orders.Prefix + string(i.Target)
	value, err := json.Marshal(i)
	if err != nil {
		return eris.Wrap(err, "encode intent")
	}
	mine := func(stored []byte) bool { return string(stored) == string(value) }
	old, err := s.Get(ctx, key)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		_, err = objectapi.ResolveCreate(ctx, s, key, value, mine)
	case err == nil:
		_, err = objectapi.ResolveUpdate(ctx, s, key, value, old.Version, mine)
	}
	if errors.Is(err, objectapi.ErrExists) || errors.Is(err, objectapi.ErrConflict) {
		return &apply.ConflictError{Key: key}
	}
	return eris.Wrapf(err, "record order for %s", i.Target)
}
